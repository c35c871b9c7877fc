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

// usage is what all nodes have used so far.
type usage struct {
	at             time.Time
	cpu            float64 // Seconds.
	resident       float64 // Bytes.
	sent, received float64
	reads, writes  int64
}

func (f *fleet) usage() (usage, error) {
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
		u.cpu += (number(fields[user]) + number(fields[system])) / ticks
		u.resident += number(fields[resident]) * float64(os.Getpagesize())
		sent, received, err := links(n.Operators)
		if err != nil {
			return u, err
		}
		u.sent += sent
		u.received += received
	}
	return u, nil
}

func number(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}

// links reads how many bytes a node has sent and received on its links.
func links(operators netip.AddrPort) (sent, received float64, err error) {
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
			sent += number(value)
		case strings.Contains(name, "linkReceivedBytes"):
			received += number(value)
		}
	}
	return sent, received, nil
}
