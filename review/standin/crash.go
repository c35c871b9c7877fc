package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// contact is contactMs of the deployment.
	contact = 3 * time.Second
	// crashPath is the path of the request that crashes servers.
	crashPath = "/book/crash"
	// maxRetries is how many retries of it may reach servers after its third crash and contact.
	maxRetries = 3
	// kills is how often all nodes are killed at once.
	kills = 3
)

// crashes records the crashes that the request caused.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// install makes servers crash that begin to run the request.
func (c *crashes) install(s *scene, quiet bool, down time.Duration) {
	for _, srv := range s.servers {
		srv.quiet, srv.down = quiet, down
	}
	s.pool.onRun = func(_ *server, r *http.Request) bool {
		if !s.trouble || r.URL.Path != crashPath {
			return false
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.at = append(c.at, time.Now())
		return true
	}
}

// retries returns how many client attempts of the request reached servers later than
// contact after its third crash, and how many crashes there were.
func (c *crashes) retries(s *scene) (late, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 3 {
		return 0, len(c.at)
	}
	from := c.at[2].Add(contact)
	ids := map[string]bool{}
	for _, a := range s.pool.all() {
		if a.path == crashPath && a.ran && a.at.After(from) {
			ids[a.id] = true
		}
	}
	return len(ids), len(c.at)
}

// ordinary sends other requests until the returned function is called, which reports how
// many got a success and how many did not.
func (s *scene) ordinary(every time.Duration) (stop func() (served, lost int)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var served, lost int
	end := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(every):
			}
			n := s.nodes[i%len(s.nodes)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := send(s.rec, n, newID(), http.MethodPost, fmt.Sprintf("/book/%d", i), "chains", 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if a.err == nil && a.status == http.StatusOK {
					served++
				} else {
					lost++
				}
			}()
		}
	}()
	return func() (int, int) {
		close(end)
		wg.Wait()
		return served, lost
	}
}

// crashingRequestSilent sends a request again and again that crashes each server which begins
// to run it. The crashed server sends nothing.
func crashingRequestSilent(s *scene) (bool, string, error) {
	var c crashes
	c.install(s, true, 4*time.Second)
	stop := s.ordinary(100 * time.Millisecond)
	for i := range 20 {
		send(s.rec, s.nodes[i%len(s.nodes)], newID(), http.MethodPost, crashPath, "the same body", 1500*time.Millisecond)
		time.Sleep(2500 * time.Millisecond)
	}
	served, lost := stop()
	late, all := c.retries(s)
	return late > maxRetries, fmt.Sprintf("the request crashed servers %d times; %d of its retries reached servers later than %s after the third crash (%d may); other requests: %d served, %d not",
		all, late, contact, maxRetries, served, lost), nil
}

// crashingRequestRestart does the same with crashes that reset connections. All nodes are
// killed at the same moment three times, and start again at once.
func crashingRequestRestart(s *scene) (bool, string, error) {
	var c crashes
	c.install(s, false, 4*time.Second)
	for i := range kills + 1 {
		for k := range 3 {
			send(s.rec, s.nodes[(i+k)%len(s.nodes)], newID(), http.MethodPost, crashPath, "the same body", 1500*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
		}
		if !s.trouble || i == kills {
			continue
		}
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
			s.rec.add("%s is killed", n.name)
		}
		for _, n := range s.nodes {
			<-n.ended
			if err := n.start(); err != nil {
				return false, "", err
			}
		}
		for _, n := range s.nodes {
			if err := n.waitReady(10 * time.Second); err != nil {
				return false, "", err
			}
		}
		s.rec.add("all nodes run again")
		time.Sleep(contact + 500*time.Millisecond)
	}
	late, all := c.retries(s)
	return late > maxRetries, fmt.Sprintf("the request crashed servers %d times; %d of its retries reached servers later than %s after the third crash (%d may)", all, late, contact, maxRetries), nil
}
