package tdpass

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/platform"
)

var errNotSent = errors.New("not sent")

// recordingBackend records the headers of the last call and sends nothing.
type recordingBackend struct{ header http.Header }

func (b *recordingBackend) Send(_ context.Context, _ tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	b.header = c.Header
	return nil, errNotSent
}

type fixedClock struct{}

func (fixedClock) Now() tarragondeal.Instant { return 1 }
func (fixedClock) Wall() time.Time           { return time.Unix(0, 1) }

// TestClassesOfOneWorkspaceKeepTheirOrder guards against urgent classes that get
// nothing while long prompts of a less urgent class begin: engines got the same
// priority for all classes of a workspace that has a tier of its own.
func TestClassesOfOneWorkspaceKeepTheirOrder(t *testing.T) {
	set := &tarragondeal.Set{
		RequestClasses: []tarragondeal.RequestClass{{Name: "live", Tier: 1}, {Name: "short", Tier: 2}, {Name: "long", Tier: 3}},
		Workspaces:     []tarragondeal.Workspace{{Name: "first", Tier: 1}, {Name: "second", Tier: 2}, {Name: "plain"}},
	}
	v := tarragondeal.NewView(1, set)
	b := &recordingBackend{}
	priority := func(workspace, class string) int {
		w, c := v.Workspaces[workspace], v.RequestClasses[class]
		tier := c.Tier
		if w.Tier > 0 {
			tier = w.Tier
		}
		x := New(Deps{Backend: b, Buffers: &Buffers{}, Clock: fixedClock{}, Log: zerolog.Nop()}, platform.Caller{}, "x.example")
		x.Do(context.Background(), &tdflow.Attempt{
			Request: &tdflow.Request{View: v, Route: &tarragondeal.Route{}, Class: c, Workspace: w, Header: http.Header{}},
			Tier:    tier, Left: time.Second, Last: true,
		})
		n, err := strconv.Atoi(b.header.Get("X-Request-Priority"))
		if err != nil || n < 0 || n > 9 {
			t.Fatalf("%s of %s: priority %q", class, workspace, b.header.Get("X-Request-Priority"))
		}
		return n
	}
	for _, c := range []struct{ urgentWorkspace, urgentClass, workspace, class string }{
		{"second", "live", "second", "short"},
		{"second", "short", "second", "long"},
		{"first", "long", "second", "live"}, // The tier of the workspace goes first.
		{"plain", "live", "second", "live"},
		{"plain", "live", "plain", "long"},
		{"second", "long", "plain", "long"},
	} {
		urgent, other := priority(c.urgentWorkspace, c.urgentClass), priority(c.workspace, c.class)
		if urgent >= other {
			t.Errorf("%s of %s has priority %d, %s of %s has %d", c.urgentClass, c.urgentWorkspace, urgent, c.class, c.workspace, other)
		}
	}
}
