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
	// clockTicks is the number of clock ticks per second in /proc/<pid>/stat.
	clockTicks   = 100
	metricPrefix = "tarragondeal_"
	// scrapeTimeout limits the time to read one node's metrics.
	scrapeTimeout = 10 * time.Second
)

// Indexes of the fields of /proc/<pid>/stat, counted from the first after the
// program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processUsage is the CPU time that a process has used since its start and the
// memory that it uses now.
type processUsage struct {
	cpu       time.Duration
	resident  float64 // Bytes.
	anonymous float64 // Bytes of the resident memory that are not backed by a file.
}

// counter is one of a node's counters.
type counter struct {
	name  string // Without metricPrefix.
	label string // The kind of call, or "".
	value float64
}

func readProcess(n *tdfleet.Node) (processUsage, error) {
	var p processUsage
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
	if len(fields) <= statSystemTime {
		return 0, eris.Errorf("processor time: %d fields", len(fields))
	}
	ticks := parseNumber(fields[statUserTime]) + parseNumber(fields[statSystemTime])
	return time.Duration(ticks / clockTicks * float64(time.Second)), nil
}

// memory returns the resident memory of a process and the part of it that is not
// backed by a file, in bytes.
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
			resident = parseNumber(value) * kilo
		case "RssAnon":
			anonymous = parseNumber(value) * kilo
		}
	}
	return resident, anonymous, nil
}

func parseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

// readMetrics reads the counters of a node over HTTP.
func readMetrics(operators netip.AddrPort) ([]counter, error) {
	client := &http.Client{Timeout: scrapeTimeout}
	res, err := client.Get("http://" + operators.String() + "/metrics")
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	defer func() { _ = res.Body.Close() }()
	return parseMetrics(res.Body)
}

// parseMetrics parses the counters in the Prometheus text format.
func parseMetrics(r io.Reader) ([]counter, error) {
	var out []counter
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, rest, ok := strings.Cut(lines.Text(), "{")
		if !ok || !strings.HasPrefix(name, metricPrefix) {
			continue
		}
		labels, value, ok := strings.Cut(rest, "} ")
		if !ok {
			return nil, eris.Errorf("metrics: line %q", lines.Text())
		}
		out = append(out, counter{name: strings.TrimPrefix(name, metricPrefix), label: callLabel(labels), value: parseNumber(value)})
	}
	return out, eris.Wrap(lines.Err(), "metrics")
}

// callLabel returns the value of the label that distinguishes the kinds of calls
// of a counter, or an empty string.
func callLabel(labels string) string {
	for label := range strings.SplitSeq(labels, ",") {
		name, value, _ := strings.Cut(label, "=")
		if name == "op" || name == "method" {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}
