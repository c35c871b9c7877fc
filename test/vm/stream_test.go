package vm_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// streamError reports that a stream is not what its server made of it.
type streamError struct {
	problem string
	event   int // The event that was expected.
	line    string
}

func (e *streamError) Error() string {
	return fmt.Sprintf("%s, event %d was expected; line %q", e.problem, e.event, e.line)
}

// checkStream checks the body of a stream that begins at the event from and ends
// with the event to. It returns the number of the last event received completely.
// A stream that ended without an error must be complete.
func checkStream(body string, end error, from, to int) (int, error) {
	last := from - 1
	whole := strings.SplitAfter(body, "\n\n")
	rest := whole[len(whole)-1]
	for _, event := range whole[:len(whole)-1] {
		for line := range strings.Lines(event) {
			line = strings.TrimSuffix(line, "\n")
			switch {
			case line == "":
			case line == fmt.Sprintf("id: %d", last+1):
			case line == fmt.Sprintf("data: piece %d", last+1) && last < to:
				last++
			case line == fmt.Sprintf("id: %d", last), line == fmt.Sprintf("data: piece %d", last):
				return last, &streamError{"an event was received twice", last + 1, line}
			default:
				return last, &streamError{"missing, joined or foreign event", last + 1, line}
			}
		}
	}
	switch {
	case end != nil:
		return last, nil
	case rest != "":
		return last, &streamError{"the stream ended as complete inside an event", last + 1, rest}
	case last < to:
		return last, &streamError{"the stream ended as complete before its last event", last + 1, ""}
	}
	return last, nil
}

// streamRun is one run of a stream at a backend server.
type streamRun func(w http.ResponseWriter)

// inOrder returns a run that does each part in turn.
func inOrder(parts ...streamRun) streamRun {
	return func(w http.ResponseWriter) {
		for _, p := range parts {
			p(w)
		}
	}
}

func breakOff(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func write(text string) streamRun {
	return func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
}

func events(from, to int) streamRun { return write(streamBody(from, to)) }

// eventsWithoutIDs sends the events from through to without their IDs.
func eventsWithoutIDs(from, to int) streamRun {
	var b strings.Builder
	for n := from; n <= to; n++ {
		_, _ = fmt.Fprintf(&b, "data: piece %d\n\n", n)
	}
	return write(b.String())
}

// answer answers with a status and a body of its own.
func answer(status int, body string) streamRun {
	return func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func header(name, value string) streamRun {
	return func(w http.ResponseWriter) {
		if value == "" {
			w.Header().Del(name)
			return
		}
		w.Header().Set(name, value)
	}
}

func wait(d time.Duration) streamRun { return func(http.ResponseWriter) { time.Sleep(d) } }

// unframed sends a header without a length and then text, and resets the
// connection.
func unframed(text string) streamRun {
	return func(w http.ResponseWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Type: text/event-stream\r\n\r\n%s",
			w.Header().Get("X-Request-Id"), w.Header().Get("X-Server-Stamp"), text)
		time.Sleep(100 * time.Millisecond) // A reset drops what the peer has not read.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

const chatEvents = 5 // Number of events of a stand-in's stream.

// brokenStreams are streams that break midway. The server that is asked next does
// what next says. If complete is set, the caller gets all events.
var brokenStreams = []struct {
	name        string
	first, next streamRun
	complete    bool
}{
	{"the next server answers 500", inOrder(events(1, 3), breakOff), answer(http.StatusInternalServerError, "failed"), false},
	{"the next server answers 504", inOrder(events(1, 3), breakOff), answer(http.StatusGatewayTimeout, "late"), false},
	{"the next server answers 503 and may have run it", inOrder(events(1, 3), breakOff), answer(http.StatusServiceUnavailable, "failed"), false},
	{"the next server answers 404", inOrder(events(1, 3), breakOff), answer(http.StatusNotFound, "not found"), false},
	{"the next server answers 302", inOrder(events(1, 3), breakOff), answer(http.StatusFound, "elsewhere"), false},
	{"the next server answers 204", inOrder(events(1, 3), breakOff), answer(http.StatusNoContent, ""), false},
	{"the next server answers 500 without a body", inOrder(events(1, 3), breakOff), answer(http.StatusInternalServerError, ""), false},
	{"the next server answers 500 and then the missing events", inOrder(events(1, 3), breakOff), answer(http.StatusInternalServerError, streamBody(4, 4)), false},
	{"the next server answers 500 with a long body", inOrder(events(1, 3), breakOff), answer(http.StatusInternalServerError, strings.Repeat("failed ", 1<<18)), false},
	{"the next server did not run it", inOrder(events(1, 3), breakOff), inOrder(header("X-Not-Run", "1"), answer(http.StatusServiceUnavailable, "")), false},
	{"the next server answers without its signature", inOrder(events(1, 3), breakOff), inOrder(header("X-Server-Stamp", ""), events(4, 5)), false},
	{"the next server answers another request", inOrder(events(1, 3), breakOff), inOrder(header("X-Request-Id", "another"), events(4, 5)), false},
	{"the next server answers with no events", inOrder(events(1, 3), breakOff), answer(http.StatusOK, ""), false},
	{"the next server answers with something else than events", inOrder(events(1, 3), breakOff), answer(http.StatusOK, "{\"piece\": 4}\n\n"), false},
	{"the next server ends inside an event", inOrder(events(1, 3), breakOff), write("id: 4\ndata: pie"), false},
	{"the next server begins again", inOrder(events(1, 3), breakOff), events(1, 5), false},
	{"the next server begins again, without IDs", inOrder(events(1, 3), breakOff), eventsWithoutIDs(1, 5), false},
	{"the next server goes on without IDs", inOrder(events(1, 3), breakOff), eventsWithoutIDs(4, 5), false},
	{"the next server begins again without IDs, then with them", inOrder(events(1, 3), breakOff), inOrder(eventsWithoutIDs(1, 3), events(4, 5)), false},
	{"the next server repeats the last event", inOrder(events(1, 3), breakOff), events(3, 5), false},
	{"the next server leaves out an event", inOrder(events(1, 3), breakOff), events(5, 5), false},
	{"the next server breaks off at once", inOrder(events(1, 3), breakOff), breakOff, false},
	{"the next server breaks off again", inOrder(events(1, 3), breakOff), inOrder(events(4, 4), breakOff), false},
	{"the next server goes on", inOrder(events(1, 3), breakOff), events(4, 5), true},
	{"no event has an ID, the next server begins again", inOrder(eventsWithoutIDs(1, 3), breakOff), events(1, 5), false},
	{"no event has an ID, the next server begins again without IDs", inOrder(eventsWithoutIDs(1, 3), breakOff), eventsWithoutIDs(1, 5), false},
	{"the last event sent has no ID", inOrder(events(1, 2), eventsWithoutIDs(3, 3), breakOff), events(3, 5), false},
	{"the stream breaks inside an event", inOrder(events(1, 3), write("id: 4\nda"), breakOff), events(4, 5), true},
	{"the stream breaks inside an event, the next server answers 500", inOrder(events(1, 3), write("id: 4\nda"), breakOff), answer(http.StatusInternalServerError, "failed"), false},
	{"the stream has no length and is reset", unframed(streamBody(1, 3)), events(4, 5), true},
	{"the stream has no length and is reset, the next server answers 500", unframed(streamBody(1, 3)), answer(http.StatusInternalServerError, "failed"), false},
	{"the stream breaks after its last event, the next server answers 500", inOrder(events(1, 5), breakOff), answer(http.StatusInternalServerError, "failed"), false},
	{"the stream breaks after its last event, the next server has no more", inOrder(events(1, 5), breakOff), answer(http.StatusOK, ""), false},
}

// serveRuns makes the fleet's engines do run first for a request, and next for each
// repeat of it at any of them.
func (f *fleet) serveRuns(first, next streamRun) {
	var mu sync.Mutex
	runs := make(map[string]int)
	f.updateEngines(func(s *server) {
		s.chat = func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			id := r.Header.Get("X-Request-Id")
			runs[id]++
			again := runs[id] > 1
			mu.Unlock()
			if again {
				next(w)
				return
			}
			first(w)
		}
	})
}

func (f *fleet) updateEngines(change func(*server)) {
	for _, s := range []*server{f.engine, f.engine2} {
		s.update(change)
	}
}

var _ = Describe("the events of a stream", func() {
	// Callers took a stream for complete that broke midway and was continued by a
	// server that failed.
	for _, c := range brokenStreams {
		for _, attempts := range []int{2, 3} {
			It(fmt.Sprintf("are in order and complete if the stream ends as complete, %d attempts: %s", attempts, c.name), func() {
				f := newFleet(1)
				f.attempts = attempts
				f.putConfig()
				f.waitReady()
				f.serveRuns(c.first, c.next)
				r := f.nodes[0].send(http.MethodPost, "/chat/1", "key-a", "")
				Expect(r.status).To(Equal(http.StatusOK), r.body) // Events were sent before it broke.
				last, err := checkStream(r.body, r.err, 1, chatEvents)
				Expect(err).NotTo(HaveOccurred(), r.body)
				Expect(last).To(BeNumerically(">", 0))
				Expect(!c.complete || r.err == nil).To(BeTrue(), "broken off: %q, %v", r.body, r.err)
			})
		}
	}

	// The next server may be asked at the moment at which the first one begins.
	It("are of one run when a server begins as its response timeout passes", func() {
		f := newFleet(1)
		f.waitReady()
		const deadline = 600 * time.Millisecond
		twice := 0
		for n := range 20 {
			before := len(f.engine.received()) + len(f.engine2.received())
			late := deadline/2 + time.Duration(n-10)*time.Millisecond
			f.serveRuns(inOrder(wait(late), events(1, 2), wait(20*time.Millisecond), events(3, 5)), events(1, 5))
			r := f.nodes[0].sendStream("/chat/1", map[string]string{"X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)})
			if r.status != http.StatusOK {
				Expect(r.body).NotTo(ContainSubstring("piece"))
				continue
			}
			_, err := checkStream(r.body, r.err, 1, chatEvents)
			Expect(err).NotTo(HaveOccurred(), "began after %s: %s", late, r.body)
			if len(f.engine.received())+len(f.engine2.received()) > before+1 {
				twice++
			}
		}
		GinkgoWriter.Println("requests that ran twice:", twice, "of 20")
	})

	It("are not ended as complete before the last one when the next server does not answer until the deadline", func() {
		f := newFleet(1)
		f.waitReady()
		f.serveRuns(inOrder(events(1, 3), breakOff), inOrder(wait(time.Second), events(4, 5)))
		r := f.nodes[0].sendStream("/chat/1", map[string]string{"X-Deadline-Ms": "500"})
		_, err := checkStream(r.body, r.err, 1, chatEvents)
		Expect(err).NotTo(HaveOccurred(), r.body)
		Expect(r.err).To(HaveOccurred())
	})

	It("are not ended as complete before the last one by a node whose caller closed its sending side", func() {
		f := newFleet(1)
		f.waitReady()
		f.updateEngines(func(s *server) { s.delay = 100 * time.Millisecond })
		conn, err := net.Dial("tcp", f.nodes[0].callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "POST /chat/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: half-closed\r\nX-Deadline-Ms: 5000\r\n"+
			"Authorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		body, end := io.ReadAll(res.Body)
		_ = res.Body.Close()
		_, err = checkStream(string(body), end, 1, chatEvents)
		Expect(err).NotTo(HaveOccurred(), string(body))
	})

	// A stream that a node ends early must not look complete.
	for _, c := range []struct {
		name     string
		deadline string
		during   func(*fleet)
		complete bool
	}{
		{"the deadline passes", "300", func(*fleet) {}, false},
		{"the node is killed", "5000", func(f *fleet) { f.nodes[0].kill() }, false},
		{"the node is stopped", "5000", func(f *fleet) { f.nodes[0].signal(syscall.SIGTERM) }, true},
		{"the key is withdrawn", "5000", func(f *fleet) { f.keys = []string{"key-b"}; f.putConfig() }, true},
		{"the server is withdrawn", "5000", func(f *fleet) { f.store.remove("servers/i-one"); f.store.remove("servers/i-two") }, true},
		{"the store is unavailable", "5000", func(f *fleet) { f.store.setUnavailable(true) }, true},
	} {
		It("are not ended as complete before the last one when "+c.name, func() {
			f := newFleet(1)
			f.waitReady()
			f.updateEngines(func(s *server) { s.delay = 200 * time.Millisecond })
			replies := make(chan reply, 1)
			go func() {
				replies <- f.nodes[0].sendStream("/chat/1", map[string]string{"X-Deadline-Ms": c.deadline})
			}()
			time.Sleep(250 * time.Millisecond)
			c.during(f)
			r := <-replies
			last, err := checkStream(r.body, r.err, 1, chatEvents)
			Expect(err).NotTo(HaveOccurred(), r.body)
			Expect(last).To(BeNumerically(">", 0))
			Expect(r.err == nil).To(Equal(c.complete))
		})
	}

	// Callers that resume a stream must not get events that they have, or miss some.
	for _, c := range []struct {
		name     string
		run      streamRun
		complete bool
	}{
		{"the server goes on", events(4, 5), true},
		{"the server begins again", events(1, 5), false},
		{"the server begins again without IDs", eventsWithoutIDs(1, 5), false},
		{"the server leaves out an event", events(5, 5), false},
		{"the server repeats the last event", events(3, 5), false},
		{"the server answers 500", answer(http.StatusInternalServerError, "failed"), false},
		{"the server breaks off and begins again", inOrder(events(4, 4), breakOff), false},
	} {
		It("follow the last one that the caller had: "+c.name, func() {
			f := newFleet(1)
			f.waitReady()
			f.serveRuns(c.run, c.run)
			r := f.nodes[0].sendStream("/chat/1", map[string]string{"Last-Event-Id": "3"})
			Expect(!c.complete || r.status == http.StatusOK && r.err == nil).To(BeTrue(), "status %d, %v", r.status, r.err)
			if r.status != http.StatusOK {
				Expect(r.body).NotTo(ContainSubstring("piece"))
				return
			}
			_, err := checkStream(r.body, r.err, 4, chatEvents)
			Expect(err).NotTo(HaveOccurred(), r.body)
		})
	}
})

// sendStream requests a stream. The reply holds what was received before the stream
// ended, and the error with which it ended, if any.
func (n *node) sendStream(target string, headers map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+target, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	req.Host = "x.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("s%d", requests.Add(1)))
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer key-a")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	res, err := callers.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(text), header: res.Header, err: err}
}

var _ = Describe("the check of a stream", func() {
	It("finds each kind of disorder", func() {
		broken := errors.New("broken")
		for _, c := range []struct {
			name, body string
			end        error
			last       int
			ok         bool
		}{
			{"complete", streamBody(1, 5), nil, 5, true},
			{"broken off", streamBody(1, 3), broken, 3, true},
			{"broken off inside an event", streamBody(1, 3) + "id: 4\nda", broken, 3, true},
			{"without IDs", "data: piece 1\n\ndata: piece 2\n\n", broken, 2, true},
			{"too short", streamBody(1, 3), nil, 3, false},
			{"too short by a part", streamBody(1, 4) + "id: 5\n", nil, 4, false},
			{"foreign end", streamBody(1, 3) + "failed", nil, 3, false},
			{"foreign event", streamBody(1, 3) + "failed\n\n", broken, 3, false},
			{"repeated event", streamBody(1, 3) + streamBody(3, 5), nil, 3, false},
			{"missing event", streamBody(1, 3) + streamBody(5, 5), nil, 3, false},
			{"two runs", streamBody(1, 3) + streamBody(1, 5), nil, 3, false},
			{"too long", streamBody(1, 6), nil, 5, false},
			{"empty", "", nil, 0, false},
		} {
			last, err := checkStream(c.body, c.end, 1, 5)
			Expect(last).To(Equal(c.last), c.name)
			Expect(err == nil).To(Equal(c.ok), c.name)
		}
	})
})
