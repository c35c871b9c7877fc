package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is the total resource usage of all nodes since their start, and their
// resident memory.
type usage struct {
	at             time.Time
	cpu            float64 // Seconds.
	resident       float64 // Bytes.
	sent, received float64 // Bytes on links between nodes.
	reads, writes  int64   // Calls of the store.
}

func (f *fleet) readUsage() (usage, error) {
	u := usage{at: time.Now()}
	rec := f.cluster.Platform.Recorded()
	u.reads, u.writes = rec.Reads, rec.Writes
	for _, n := range f.nodes {
		dir := fmt.Sprintf("/proc/%d/", n.Session.Command.Process.Pid)
		stat, err := os.ReadFile(dir + "stat")
		if err != nil {
			return u, err
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		const ticks, user, system, resident = 100, 11, 12, 21
		u.cpu += (parseNumber(fields[user]) + parseNumber(fields[system])) / ticks
		u.resident += parseNumber(fields[resident]) * float64(os.Getpagesize())
		sent, received, err := linkBytes(n.Operators)
		if err != nil {
			return u, err
		}
		u.sent += sent
		u.received += received
	}
	return u, nil
}

func parseNumber(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}

// linkBytes returns how many bytes a node has sent and received on its links to
// other nodes.
func linkBytes(operators netip.AddrPort) (sent, received float64, err error) {
	res, err := http.Get("http://" + operators.String() + "/metrics")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "} ")
		switch {
		case !ok:
		case strings.Contains(name, "linkSentBytes"):
			sent += parseNumber(value)
		case strings.Contains(name, "linkReceivedBytes"):
			received += parseNumber(value)
		}
	}
	return sent, received, nil
}
