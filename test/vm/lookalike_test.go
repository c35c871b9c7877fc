package vm_test

import (
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// alteredShare is the share of the store's answers that are altered.
	alteredShare = 0.2
	// oldReadAge is how old an answer is that is old.
	oldReadAge = 3 * time.Second
	// lateAnswerDelay bounds how late an answer arrives that is late.
	lateAnswerDelay = 1500 * time.Millisecond
)

func isRead(r *http.Request) bool {
	return r.URL.Path == "/v1/kv-range" || r.URL.Path == "/v1/kv-key"
}

// answerOld returns earlier answers to the same reads.
func answerOld() alterAnswer {
	type answer struct {
		at     time.Time
		status int
		body   []byte
	}
	var mu sync.Mutex
	before := make(map[string][]answer)
	return func(r *http.Request, status int, body []byte) []byte {
		if !isRead(r) {
			return body
		}
		mu.Lock()
		defer mu.Unlock()
		key := r.URL.String()
		before[key] = append(before[key], answer{time.Now(), status, body})
		for len(before[key]) > 1 && time.Since(before[key][1].at) > oldReadAge {
			before[key] = before[key][1:]
		}
		if old := before[key][0]; old.status == status && rand.Float64() < alteredShare {
			return old.body
		}
		return body
	}
}

// answerWithoutRevisions leaves out the revisions of answers.
func answerWithoutRevisions() alterAnswer {
	field := regexp.MustCompile(`,?"(rev|storeRevision)":\d+`)
	return func(_ *http.Request, _ int, body []byte) []byte {
		if rand.Float64() > alteredShare {
			return body
		}
		return []byte(strings.ReplaceAll(field.ReplaceAllString(string(body), ""), "{,", "{"))
	}
}

// answerLate delays answers to reads and watches.
func answerLate() alterAnswer {
	return func(r *http.Request, _ int, body []byte) []byte {
		if r.Method == http.MethodGet && rand.Float64() < alteredShare {
			time.Sleep(rand.N(lateAnswerDelay))
		}
		return body
	}
}

var _ = Describe("what looks like a store that comes back from a copy", func() {
	for _, d := range []struct {
		name    string
		empty   bool // Another store that is empty is behind the same address.
		alter   alterAnswer
		outages int // History is dropped so often, so that the keys are listed again.
	}{
		{"another store that is empty", true, nil, 0},
		{"reads that are old", false, answerOld(), 4},
		{"answers without revisions", false, answerWithoutRevisions(), 4},
		{"answers that are late", false, answerLate(), 4},
	} {
		// Guards against nodes that drop what is right, or go on with what was withdrawn, and
		// against an era that begins though the store has not gone back.
		It("drops nothing that is right: "+d.name, func() {
			f := newFleet(3)
			f.waitReady()
			f.keepServers()
			for range 5 {
				f.withdraw(0)
			}
			time.Sleep(contactTime)
			load := f.startLoadWith("key-other", "/look/", 20*time.Millisecond)
			f.store.setHistory(func() { f.store.alter = d.alter })
			if d.empty {
				f.store.restore(nil, 1)
				f.store.srv.CloseClientConnections()
				f.rewriteConfig()
				f.putServers()
				time.Sleep(contactTime)
			}
			for range d.outages {
				f.store.setUnavailable(true)
				time.Sleep(awayTime / 2)
				f.store.setUnavailable(false)
				f.store.setHistory(func() { f.store.dropped = f.store.rev })
				f.withdraw(configTime)
			}
			f.withdraw(configTime)
			statuses := load.stop()
			GinkgoWriter.Println(statuses)
			Expect(statuses[http.StatusUnauthorized]+statuses[http.StatusNotFound]).To(BeZero(), "%v", statuses)
			Expect(f.store.dutyViolations()).To(BeEmpty())
			eras := 0
			for _, n := range f.nodes {
				n.kill()
				eras += strings.Count(n.out.String(), "era of the store changed")
			}
			Expect(eras > 0).To(Equal(d.empty))
		})
	}
})
