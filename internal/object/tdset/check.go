package tdset

import (
	"fmt"
	"math"
	"regexp"

	"tarragondeal"
)

// maxNameBytes is the maximum length of the name of an object.
const maxNameBytes = 63

// namePattern matches valid names. Names are used in paths and in keys, so they
// must not contain slashes or underscores.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

// checker checks a set and collects its faults and warnings.
type checker struct {
	set      *tarragondeal.Set
	view     *tarragondeal.View
	faults   []Fault
	warnings []Fault
}

func newChecker(set *tarragondeal.Set) *checker {
	return &checker{set: set, view: tarragondeal.NewView(0, set)}
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) warn(path, format string, args ...any) {
	c.warnings = append(c.warnings, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) run() {
	c.names()
	c.pools()
	c.classes()
	c.workspaces()
	c.routes()
	c.keys()
	c.placement()
	c.warnUnused()
}

func (c *checker) names() {
	checkNames(c, "dataCentres", c.set.DataCentres, func(o *tarragondeal.DataCentre) string { return o.Name })
	checkNames(c, "serverPools", c.set.ServerPools, func(o *tarragondeal.ServerPool) string { return o.Name })
	checkNames(c, "requestClasses", c.set.RequestClasses, func(o *tarragondeal.RequestClass) string { return o.Name })
	checkNames(c, "workspaces", c.set.Workspaces, func(o *tarragondeal.Workspace) string { return o.Name })
	checkNames(c, "routes", c.set.Routes, func(o *tarragondeal.Route) string { return o.Name })
	checkNames(c, "keys", c.set.Keys, func(o *tarragondeal.Key) string { return o.Name })
}

func checkNames[T any](c *checker, list string, objects []T, name func(*T) string) {
	first := make(map[string]int, len(objects))
	for n := range objects {
		path := fmt.Sprintf("%s[%d].name", list, n)
		s := name(&objects[n])
		switch k, dup := first[s]; {
		case s == "":
			c.fault(path, "a name is missing")
		case len(s) > maxNameBytes || !namePattern.MatchString(s):
			c.fault(path, "%q is no name: up to %d letters, digits, dots and hyphens, a letter or digit at both ends", truncate(s), maxNameBytes)
		case dup:
			c.fault(path, "%s[%d] has the name %q already", list, k, s)
		default:
			first[s] = n
		}
	}
}

func (c *checker) pools() {
	for n := range c.set.ServerPools {
		c.pool(fmt.Sprintf("serverPools[%d]", n), &c.set.ServerPools[n])
	}
}

func (c *checker) pool(path string, p *tarragondeal.ServerPool) {
	switch p.Kind {
	case tarragondeal.PoolModel:
		if p.Model == "" {
			c.fault(path+".model", "a model pool needs the name of its model")
		}
	case tarragondeal.PoolService:
		if p.Model != "" {
			c.fault(path+".model", "a service pool has no model")
		}
	default:
		c.fault(path+".kind", "expected model or service, found %q", truncate(string(p.Kind)))
	}
	if p.Slots < 1 {
		c.fault(path+".slots", "a pool's servers need at least one slot, not %d", p.Slots)
	}
	c.notNegative(path+".costPerHour", p.CostPerHour)
	c.notNegative(path+".min", float64(p.Min))
	c.notNegative(path+".max", float64(p.Max))
	if p.Max > 0 && p.Min > p.Max {
		c.fault(path+".min", "min %d is above max %d", p.Min, p.Max)
	}
}

func (c *checker) notNegative(path string, v float64) {
	if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		c.fault(path, "expected zero or more, found %v", v)
	}
}

func (c *checker) limits(path string, l tarragondeal.Limits) {
	c.notNegative(path+".limits.requestsPerSecond", l.RequestsPerSecond)
	c.notNegative(path+".limits.tokensPerSecond", l.TokensPerSecond)
	c.notNegative(path+".limits.concurrent", float64(l.Concurrent))
}

func (c *checker) classes() {
	var sum float64
	for n := range c.set.RequestClasses {
		o := &c.set.RequestClasses[n]
		path := fmt.Sprintf("requestClasses[%d]", n)
		c.class(path, o)
		sum += max(0, o.MinShare)
		if sum > 1+shareTolerance {
			c.fault(path+".minShare", "the shares add up to %.3g by here, more than 1", sum)
			sum = 0
		}
	}
}

// shareTolerance is the permitted rounding error of the sum of the shares.
const shareTolerance = 1e-9

func (c *checker) class(path string, o *tarragondeal.RequestClass) {
	if o.Tier < 1 {
		c.fault(path+".tier", "tiers start at 1, not %d", o.Tier)
	}
	c.notNegative(path+".minShare", o.MinShare)
	if o.Objective != 0 && !(o.Objective > 0 && o.Objective < 1) {
		c.fault(path+".objective", "expected a share between 0 and 1, such as 0.95, found %v", o.Objective)
	}
	if o.Deadline <= 0 {
		c.fault(path+".deadline", "a class needs a deadline above zero")
	}
	targets := []struct {
		name string
		d    tarragondeal.Duration
	}{{"firstToken", o.FirstToken}, {"betweenTokens", o.BetweenTokens}, {"completion", o.Completion}}
	for _, t := range targets {
		at := path + "." + t.name
		if t.d < 0 {
			c.fault(at, "expected zero or more")
		}
		if o.Deadline > 0 && t.d > o.Deadline {
			c.fault(at, "the target lies after the deadline")
		}
	}
}

func (c *checker) workspaces() {
	for n := range c.set.Workspaces {
		o := &c.set.Workspaces[n]
		path := fmt.Sprintf("workspaces[%d]", n)
		checkRefs(c, path+".dataCentres", "data centre", o.DataCentres, c.view.DataCentres)
		c.notNegative(path+".weight", o.Weight)
		c.limits(path, o.Limits)
	}
}

// checkRefs checks that each name in a list refers to a known object and occurs
// once. The argument kind names the kind of the objects, for messages.
func checkRefs[T any](c *checker, path, kind string, names []string, known map[string]*T) {
	seen := make(map[string]bool, len(names))
	for n, name := range names {
		at := fmt.Sprintf("%s[%d]", path, n)
		switch {
		case known[name] == nil:
			c.fault(at, "no %s is named %q", kind, truncate(name))
		case seen[name]:
			c.fault(at, "%q is named twice", name)
		}
		seen[name] = true
	}
}
