package tdslope

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal/internal/measure/tdfleet"
)

const (
	// clockTicks is the kernel's unit of processor time, in ticks a second.
	clockTicks = 100
	metricName = "tarragondeal_"
	// scrapeTimeout bounds the reading of one node's metrics.
	scrapeTimeout = 10 * time.Second
)

// The places of what is read in /proc/<pid>/stat, from after the program's
// name.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// process is what one node's process has used since its start, and what it
// holds.
type process struct {
	cpu       time.Duration
	resident  float64 // Bytes.
	anonymous float64 // Bytes of it that no file backs.
}

// counter is one of a node's counters that matter here.
type counter struct {
	name  string // Without the product's prefix.
	label string // The kind of call, or "".
	value float64
}

func readProcess(n *tdfleet.Node) (process, error) {
	var p process
	var err error
	if p.cpu, err = processorTime(n.PID()); err != nil {
		return p, err
	}
	p.resident, p.anonymous, err = memory(n.PID())
	return p, err
}

func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= fieldSystem {
		return 0, eris.Errorf("processor time: %d fields", len(fields))
	}
	ticks := number(fields[fieldUser]) + number(fields[fieldSystem])
	return time.Duration(ticks / clockTicks * float64(time.Second)), nil
}

// memory returns a process's resident bytes, and those that no file backs.
func memory(pid int) (resident, anonymous float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, eris.Wrap(err, "memory")
	}
	const kilo = 1024
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		switch name {
		case "VmRSS":
			resident = number(value) * kilo
		case "RssAnon":
			anonymous = number(value) * kilo
		}
	}
	return resident, anonymous, nil
}

func number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

// scrape reads a node's counters.
func scrape(operators netip.AddrPort) ([]counter, error) {
	client := &http.Client{Timeout: scrapeTimeout}
	res, err := client.Get("http://" + operators.String() + "/metrics")
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	defer func() { _ = res.Body.Close() }()
	return parse(res.Body)
}

// parse reads counters in the form that scrapers read.
func parse(r io.Reader) ([]counter, error) {
	var out []counter
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, rest, ok := strings.Cut(lines.Text(), "{")
		if !ok || !strings.HasPrefix(name, metricName) {
			continue
		}
		labels, value, ok := strings.Cut(rest, "} ")
		if !ok {
			return nil, eris.Errorf("metrics: line %q", lines.Text())
		}
		out = append(out, counter{name: strings.TrimPrefix(name, metricName), label: kind(labels), value: number(value)})
	}
	return out, eris.Wrap(lines.Err(), "metrics")
}

// kind returns the label that tells calls of one counter apart.
func kind(labels string) string {
	for label := range strings.SplitSeq(labels, ",") {
		name, value, _ := strings.Cut(label, "=")
		if name == "op" || name == "method" {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}
