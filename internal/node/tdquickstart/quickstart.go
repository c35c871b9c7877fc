package tdquickstart

import (
	"context"
	"crypto/rand"
	_ "embed" // For set.yaml.
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdservice"
)

//go:embed set.yaml
var setText string

const (
	nodeCount = 3
	// startTimeout is the time limit for the nodes to discover each other.
	startTimeout = 30 * time.Second
	// stepTimeout is the time limit of each step.
	stepTimeout = 30 * time.Second
)

// Options configures Run.
type Options struct {
	Out  io.Writer
	Logs io.Writer // The nodes' logs; discarded if nil.
	// Stay keeps everything running after the last step until the context ends.
	Stay bool
}

// StepError describes a step that failed.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

// Unwrap returns the underlying error.
func (e *StepError) Unwrap() error { return e.Err }

// demo is a running quickstart.
type demo struct {
	Options
	cluster *tdcluster.Cluster
	fleet   *fleet
	client  *tdoperator.Client
	token   string
	keys    map[string]string // Key texts by name.
}

// Run starts the stand-ins and the nodes, runs all steps, and stops everything.
func Run(ctx context.Context, o Options) error {
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	o.Logs = zerolog.SyncWriter(o.Logs) // All nodes write to it concurrently.
	d := &demo{Options: o, token: rand.Text(), keys: make(map[string]string)}
	cluster, err := tdcluster.Start(clusterSpec())
	if err != nil {
		return &StepError{Step: "start the stand-ins", Err: err}
	}
	defer cluster.Close()
	d.cluster = cluster
	if d.fleet, err = startFleet(cluster.PlatformURL, d.token, o.Logs); err != nil {
		return &StepError{Step: "start the nodes", Err: err}
	}
	defer d.fleet.stop()
	d.client = tdoperator.NewClient(d.fleet.operators(0).String(), d.token)
	for _, s := range d.steps() {
		if err := d.runStep(ctx, s); err != nil {
			return err
		}
	}
	if o.Stay {
		d.keepRunning(ctx)
	}
	return nil
}

func clusterSpec() tdcluster.Spec {
	engine := &tdengine.Options{Slots: 4, Prefill: 20 * time.Millisecond, PerToken: 5 * time.Millisecond}
	service := &tdservice.Options{Slots: 8, Work: 5 * time.Millisecond}
	var out tdcluster.Spec
	for _, dataCentre := range []string{"duluth", "sarnia", "toledo", "erie"} {
		out.Groups = append(out.Groups, tdcluster.Group{Pool: "narrator", DataCentre: dataCentre, Count: 2, Engine: engine})
	}
	out.Groups = append(out.Groups,
		tdcluster.Group{Pool: "narrator-spot", DataCentre: "erie", Count: 1, Engine: engine},
		tdcluster.Group{Pool: "records", DataCentre: "duluth", Count: 1, Service: service},
		tdcluster.Group{Pool: "records", DataCentre: "toledo", Count: 1, Service: service})
	return out
}

// step is one part of the quickstart. Its function returns a line that
// describes the result.
type step struct {
	name string
	run  func(context.Context) (string, error)
}

func (d *demo) steps() []step {
	return []step{
		{fmt.Sprintf("wait until %d nodes are ready in front of %d backend servers in 4 data centres", nodeCount, len(d.cluster.Servers)), d.waitForNodes},
		{"publish a set of objects", d.publish},
		{"issue two keys", d.issueKeys},
		{"wait until the nodes have taken over the backend servers", d.waitForServers},
		{"stream a narrative", d.stream},
		{"send a request for a data centre that is not permitted", d.requestForbiddenDataCentre},
		{"enter a certificate at two nodes with the same idempotency key", d.repeatEntry},
		{"withdraw a key and use it again", d.withdrawKey},
		{"check that no backend server has seen a key", d.checkNoKeys},
		{"send 60 requests of three classes at once", d.burst},
	}
}

func (d *demo) runStep(ctx context.Context, s step) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	d.printf("%s\n", s.name)
	line, err := s.run(ctx)
	if err != nil {
		return &StepError{Step: s.name, Err: err}
	}
	d.printf("    %s\n", line)
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}

func (d *demo) waitForNodes(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.waitReady(ctx, d.token, len(d.cluster.Servers)); err != nil {
		return "", err
	}
	return fmt.Sprintf("all nodes are ready; callers may use any of %s", d.fleet), nil
}

func (d *demo) publish(ctx context.Context) (string, error) {
	start := time.Now()
	res, err := d.client.Publish(ctx, tdoperator.Published{Text: setText, Note: "quickstart"})
	if err != nil {
		return "", err
	}
	if len(res.Lagging) > 0 {
		return "", fmt.Errorf("version %d is not in force at nodes %v", res.Version, res.Lagging)
	}
	return fmt.Sprintf("version %d was in force at all nodes after %s", res.Version, time.Since(start).Round(time.Millisecond)), nil
}

func (d *demo) issueKeys(ctx context.Context) (string, error) {
	for name, workspace := range map[string]string{"technician": "benches", "auditor": "auditors"} {
		text, key, err := tdkey.Issue(name, workspace)
		if err != nil {
			return "", err
		}
		if _, err := d.client.Issue(ctx, tdoperator.NewKey{Key: key}); err != nil {
			return "", err
		}
		d.keys[name] = text
	}
	return "technician for benches, auditor for auditors; only salted digests were published", nil
}

func (d *demo) withdrawKey(ctx context.Context) (string, error) {
	res, err := d.client.Withdraw(ctx, "auditor", "quickstart", tdoperator.DefaultWait)
	if err != nil {
		return "", err
	}
	if len(res.Lagging) > 0 {
		return "", fmt.Errorf("the withdrawal of key auditor is not in force at nodes %v", res.Lagging)
	}
	for n := range nodeCount {
		a, err := d.chat(ctx, n, "auditor", "summarise", "still there?", 4)
		if err != nil {
			return "", err
		}
		if err := a.checkRefused(tarragondeal.ReasonKeyWithdrawn); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("refused at all %d nodes: %s, ran: %s", nodeCount, tarragondeal.ReasonKeyWithdrawn, tarragondeal.RanNot), nil
}

// keepRunning prints commands to run by hand and waits until ctx ends.
func (d *demo) keepRunning(ctx context.Context) {
	d.printf(`
The quickstart runs until you press Ctrl-C. To send a streamed request:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"narrate","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"meter 7, bench 3"}]}'

To run operators' commands:

  export TARRAGONDEAL_NODE=%s TARRAGONDEAL_TOKEN=%s TARRAGONDEAL_ENTRY=%s
  go run ./cmd/tarragondeal status
  go run ./cmd/tarragondeal config show
  go run ./cmd/tarragondeal report

To start another node in a separate process:

  export TARRAGONDEAL_PLATFORM_URL=%s TARRAGONDEAL_PEERS=%s TARRAGONDEAL_OPERATOR_TOKEN=%s
  go run ./cmd/tarragondeal serve -name node4 -dataCentre sarnia
`, d.fleet.callers(0), d.keys["technician"], d.fleet.operators(0), d.token, d.fleet.callers(0),
		d.cluster.PlatformURL, d.fleet.peers(0), d.token)
	<-ctx.Done()
}
