package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"tarragondeal/internal/entry/tdaddress"
)

const defaultEntry = "127.0.0.1:8080"

// maxEntryBytes bounds the answer to which addresses to use.
const maxEntryBytes = 1 << 20

func (t *tool) entry() *ffcli.Command {
	fs := t.flags("entry")
	node := fs.String("node", "", "callers' address of any node; else TARRAGONDEAL_ENTRY, else "+defaultEntry)
	dataCentre := fs.String("dataCentre", "", "where the caller is")
	return &ffcli.Command{
		Name: "entry", ShortUsage: "tarragondeal entry [flags]",
		ShortHelp: "Show which addresses callers are told to use. No token is needed.",
		LongHelp:  example("tarragondeal entry -node 10.0.0.5:8080 -dataCentre duluth"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			a, err := askEntry(ctx, cmp.Or(*node, t.env("ENTRY"), defaultEntry), *dataCentre)
			if err != nil {
				return err
			}
			for _, addr := range a.Addresses {
				t.printf("%s\n", addr)
			}
			t.warnf("good for %s\n", a.TimeToLive)
			return nil
		},
	}
}

func askEntry(ctx context.Context, node, dataCentre string) (out tdaddress.Answer, err error) {
	target := "http://" + node + "/entry?dataCentre=" + url.QueryEscape(dataCentre)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return out, eris.Wrapf(err, "node %s", node)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return out, fmt.Errorf("node %s answered with status %d", node, res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxEntryBytes)).Decode(&out)
	return out, err
}
