package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/front"
	"github.com/gypsumhook/gypsum/wire"
)

const (
	// explainTimeout bounds the call to a daemon, which answers at once.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes limits an explanation. A candidate has some 300 bytes.
	maxExplanationBytes = 8 << 20
)

// explainCommand returns the command that asks a daemon where a request would go.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "ask a daemon on the users' platform where a request would go now, without sending it", Action: runExplain,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "internal `ADDRESS` of the daemon", Required: true},
			&cli.StringFlag{Name: "method", Usage: "`METHOD` of the request", Value: http.MethodGet},
			&cli.StringFlag{Name: "host", Usage: "host `NAME` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Value: "/"},
			&cli.StringSliceFlag{Name: "header", Usage: "`NAME: VALUE` of a header field"},
			&cli.StringFlag{Name: "account", Usage: "client `ACCOUNT` of the request"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
	}
}

// runExplain asks the daemon and prints its explanation.
func runExplain(ctx context.Context, command *cli.Command) error {
	request := &gypsum.ExplainRequest{
		Method: command.String("method"), HostName: command.String("host"), Target: command.String("path"), Header: make(http.Header),
		Account: gypsum.AccountName(command.String("account")),
	}
	for _, field := range command.StringSlice("header") {
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			return fmt.Errorf("%w: header %q has no colon", errInvalidCommandLine, field)
		}
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	content, err := fetchExplanation(ctx, command.String("daemon"), request)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		var indented bytes.Buffer
		if err := json.Indent(&indented, content, "", "  "); err != nil {
			return fmt.Errorf("decode explanation: %w", err)
		}
		_, err = fmt.Fprintln(command.Root().Writer, indented.String())
		return err
	}
	explanation := &gypsum.Explanation{}
	if err := json.Unmarshal(content, explanation); err != nil {
		return fmt.Errorf("decode explanation: %w", err)
	}
	return printExplanation(command.Root().Writer, explanation)
}

// fetchExplanation returns the explanation of a daemon as JSON.
func fetchExplanation(ctx context.Context, address string, request *gypsum.ExplainRequest) ([]byte, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+front.ExplainPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidCommandLine, err)
	}
	response, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("ask daemon: %w", err))
	}
	defer func() { _ = response.Body.Close() }()
	content, err := wire.ReadBody(response.Body, maxExplanationBytes)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("read explanation: %w", err))
	}
	if response.StatusCode != http.StatusOK {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(content))))
	}
	return content, nil
}

// printExplanation prints an explanation for people.
func printExplanation(out io.Writer, e *gypsum.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("daemon %s, configuration %d, store last seen %d ms ago", e.Host, e.Revision, e.StoreAwayMS)
	if e.Route != "" {
		line("route %s (%s), priority %d, target %d ms, timeout %d ms", e.Route, e.Kind, e.Priority, e.TargetMS, e.TimeoutMS)
	}
	if e.Account != "" {
		line("account %s", e.Account)
	}
	if e.Verdict != "" {
		line("%s", e.Verdict)
	}
	for _, service := range e.Services {
		verdict := service.Verdict
		if service.Replica != "" {
			verdict += " to " + string(service.Replica)
		}
		if service.RetryAfterMS > 0 {
			verdict += fmt.Sprintf(", retry after %d ms", service.RetryAfterMS)
		}
		line("")
		line("service %s (%.0f %% of the route): %s; %d waiting", service.Service, 100*service.Share, verdict, service.Waiting)
		line("replica\tdata centre\tvia\tin flight\tfree slots\texpected\tfailing\tagainst it")
		for _, c := range service.Candidates {
			line("%s\t%s\t%s\t%d of %d\t%d\t%d ms\t%.2f\t%s", c.Replica, c.DataCentre, c.Via, c.InFlight, c.Slots, c.FreeSlots, c.ExpectedMS, c.FailureRate, strings.Join(c.Against, "; "))
		}
	}
	return w.Flush()
}
