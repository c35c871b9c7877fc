// Command standin plays the cases of the review: it starts the project's nodes as processes,
// and stand-ins for the platform, the servers and the clients, all on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// scene is a deployment with its stand-ins.
type scene struct {
	rec     *recorder
	store   *store
	pool    *pool
	servers []*server
	nodes   []*node
	doors   []*door // Of the store, one for each node.
	trouble bool
}

// cases are the cases by name. Each reports whether its rule held, in words.
var cases = map[string]func(s *scene) (broken bool, finding string, err error){
	"duties-stop":              dutiesStop,
	"crashing-request-silent":  crashingRequestSilent,
	"crashing-request-restart": crashingRequestRestart,
	"failed-as-refused":        failedAsRefused,
	"large-entries":            largeEntries,
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository's root")
	record := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	nodes := flag.Int("nodes", 3, "how many nodes run")
	servers := flag.Int("servers", 3, "how many plain servers run")
	flag.Parse()
	os.Exit(play(*name, *root, *record, *trouble, *nodes, *servers))
}

func play(name, root, record string, trouble bool, nodes, servers int) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &scene{rec: rec, trouble: trouble}
	defer s.end()
	if err := s.begin(root, dir, nodes, servers); err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, finding, err := run(s)
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("finding: %s", finding)
	fmt.Println(finding)
	if broken {
		return 1
	}
	return 0
}

// begin starts the stand-ins and the nodes, and waits until these are ready.
func (s *scene) begin(root, dir string, nodes, servers int) error {
	var err error
	if s.store, err = newStore(s.rec); err != nil {
		return err
	}
	s.store.put("op/config", config(3, key, otherKey))
	s.pool = &pool{rec: s.rec, store: s.store, service: "leie-system"}
	for i := range servers {
		srv, err := newServer(s.pool, fmt.Sprintf("%c7f3a9", 'a'+i))
		if err != nil {
			return err
		}
		s.servers = append(s.servers, srv)
	}
	for i := range nodes {
		d, err := s.store.openDoor()
		if err != nil {
			return err
		}
		s.doors = append(s.doors, d)
		n, err := newNode(root, dir, fmt.Sprintf("front-sone-bergen-%d", i+1), d.addr(), s.store.addr())
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.waitReady(10 * time.Second); err != nil {
			return err
		}
		if err := n.laterStarts(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // From then on all machines are in touch.
	return nil
}

func (s *scene) end() {
	for _, n := range s.nodes {
		n.stop()
	}
}
