package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/entry"
	"github.com/gypsumhook/gypsum/fake"
)

// demoGap is the pause of a caller between two calls.
const demoGap = 10 * time.Millisecond

// demoTimeout is the deadline of each call.
const demoTimeout = 3 * time.Second

// errBroken is a promise that was seen broken.
var errBroken = errors.New("a promise was broken")

// demoCommand returns the command that drives and checks the demo.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "send calls through all entry hosts, check the promises and print a report", Action: runDemo,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `URL` of an entry host", Required: true},
			&cli.StringSliceFlag{Name: "operators", Usage: "operators' `URL` of an entry host", Required: true},
			&cli.StringSliceFlag{Name: "ledger", Usage: "`URL` of a replica of the plain service", Required: true},
			&cli.StringFlag{Name: "model-service", Required: true, Usage: "model service to call"},
			&cli.StringFlag{Name: "plain-service", Required: true, Usage: "plain service to call"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long to send calls"},
			&cli.IntFlag{Name: "callers", Value: 4, Usage: "callers of each kind"},
			&cli.StringFlag{Name: "trainer-report", Required: true, Usage: "`FILE` that the trainer writes"},
			&cli.DurationFlag{Name: "trainer-wait", Value: 20 * time.Second, Usage: "longest wait for the trainer's report"},
		},
	}
}

// demo drives calls and keeps what callers saw.
type demo struct {
	command *cli.Command
	client  *http.Client

	mu      sync.Mutex
	answers map[string]int
	refused map[string]int
	late    int
	broken  []string
	// Keys is what the callers were told of each idempotency key.
	keys map[string]*keyRecord
}

// keyRecord is what callers were told of an idempotency key.
type keyRecord struct {
	answers []string
	// NotRun counts refusals that said that the request was not run.
	notRun  int
	unknown int
}

// runDemo sends the calls, checks the promises and prints the report.
func runDemo(ctx context.Context, command *cli.Command) error {
	d := &demo{
		command: command, client: &http.Client{Timeout: demoTimeout + time.Second},
		answers: map[string]int{}, refused: map[string]int{}, keys: map[string]*keyRecord{},
	}
	callCtx, cancel := context.WithTimeout(ctx, command.Duration("for"))
	defer cancel()
	var callers sync.WaitGroup
	for number := range command.Int("callers") {
		callers.Go(func() { d.completions(callCtx, number) })
		callers.Go(func() { d.orders(callCtx, number) })
	}
	callers.Wait()
	report, err := d.awaitTrainer(ctx)
	if err != nil {
		return err
	}
	d.checkLedgers(ctx)
	return d.print(ctx, report)
}

// entryFor returns the entry host for a caller's call.
func (d *demo) entryFor(caller, call int) string {
	entries := d.command.StringSlice("entry")
	return entries[(caller+call)%len(entries)]
}

// completions sends completions, one after another.
func (d *demo) completions(ctx context.Context, caller int) {
	for call := 0; ctx.Err() == nil; call++ {
		prompt := fmt.Sprintf("crew for trawler %d-%d", caller, call)
		begin := time.Now()
		err := d.completion(context.WithoutCancel(ctx), d.entryFor(caller, call), prompt)
		d.note("completion", err, time.Since(begin))
		time.Sleep(demoGap)
	}
}

// completion sends one streamed completion and checks its answer.
func (d *demo) completion(ctx context.Context, base, prompt string) error {
	body, err := json.Marshal(adapt.CompletionRequest{Model: d.command.String("model-service"), Prompt: prompt, MaxTokens: 32, Seed: 1, Stream: true})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	response, err := d.send(ctx, base+"/v1/completions", body, map[string]string{entry.RecoveryHeader: "resume"})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var joiner gypsum.Joiner
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return fmt.Errorf("stream: %w", err)
		}
		if event.Type == "error" {
			return problemError([]byte(event.Data))
		}
		if event.Data == "[DONE]" {
			return d.checkCompletion(&joiner, prompt)
		}
		var chunk adapt.CompletionChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return fmt.Errorf("chunk: %w", err)
		}
		choice := chunk.Choices[0]
		fresh := &gypsum.Chunk{Index: choice.TokenIndex, Text: choice.Text, Tokens: choice.Tokens, Version: chunk.WeightVersion}
		if choice.FinishReason != nil {
			fresh.Finish = *choice.FinishReason
		}
		if _, err := joiner.Add(fresh); err != nil {
			d.breach("completion has a gap: %v", err)
		}
	}
	return errors.New("stream ended without mark")
}

// checkCompletion checks that an answer is whole and the caller's own.
func (d *demo) checkCompletion(joiner *gypsum.Joiner, prompt string) error {
	if !joiner.Whole() || joiner.Text() != fake.Text(prompt, 1, joiner.Segments()) {
		d.breach("completion for %q is not whole or not its own", prompt)
	}
	return nil
}

// orders sends non-idempotent orders. Each is sent again, through another
// entry host and with the same key, until its outcome is known.
func (d *demo) orders(ctx context.Context, caller int) {
	for call := 0; ctx.Err() == nil; call++ {
		key := uuid.Must(uuid.NewV7()).String()
		for attempt := range 3 {
			begin := time.Now()
			err := d.order(context.WithoutCancel(ctx), d.entryFor(caller, call+attempt), key)
			d.note("order", err, time.Since(begin))
			if err == nil && attempt > 0 {
				break
			}
		}
		time.Sleep(demoGap)
	}
}

// order sends one order.
func (d *demo) order(ctx context.Context, base, key string) error {
	url := base + "/services/" + d.command.String("plain-service") + "/orders"
	response, err := d.send(ctx, url, []byte(`{"crew":3}`), map[string]string{entry.KeyHeader: key})
	record := d.key(key)
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		var refusal *gypsum.Refusal
		if errors.As(err, &refusal) && refusal.Outcome == gypsum.OutcomeNotRun {
			record.notRun++
		} else {
			record.unknown++
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	record.answers = append(record.answers, string(content))
	return nil
}

// key returns the record of a key.
func (d *demo) key(key string) *keyRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	record, ok := d.keys[key]
	if !ok {
		record = &keyRecord{}
		d.keys[key] = record
	}
	return record
}

// send posts a request. A problem document becomes a *gypsum.Refusal.
func (d *demo) send(ctx context.Context, url string, body []byte, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(entry.TimeoutHeader, fmt.Sprint(demoTimeout.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read problem: %w", err)
	}
	return nil, problemError(content)
}

// problemError returns the refusal of a problem document.
func problemError(content []byte) error {
	var problem entry.Problem
	if err := json.Unmarshal(content, &problem); err != nil {
		return fmt.Errorf("no problem document: %s", content)
	}
	return &gypsum.Refusal{Reason: problem.Reason, Outcome: problem.Outcome, Status: problem.Status, Detail: problem.Detail}
}

// note counts what a caller saw.
func (d *demo) note(kind string, err error, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if took > demoTimeout+500*time.Millisecond {
		d.late++
	}
	var refusal *gypsum.Refusal
	switch {
	case err == nil:
		d.answers[kind]++
	case errors.As(err, &refusal):
		if refusal.Outcome != gypsum.OutcomeNotRun {
			d.broken = append(d.broken, fmt.Sprintf("%s was cut off: %v", kind, refusal))
		}
		d.refused[fmt.Sprintf("%s %s/%s", kind, refusal.Reason, refusal.Outcome)]++
	case strings.Contains(err.Error(), "connection refused"):
		d.refused[kind+" entry host stopped"]++
	default:
		d.refused[kind+" "+err.Error()]++
		d.broken = append(d.broken, kind+" was cut off: "+err.Error())
	}
}

// breach notes a broken promise.
func (d *demo) breach(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, values...))
}

// checkLedgers compares what the plain service ran with what callers were told.
func (d *demo) checkLedgers(ctx context.Context) {
	runs := make(map[string]int)
	for _, url := range d.command.StringSlice("ledger") {
		var ledger map[string]int
		if err := d.get(ctx, url+"/ledger", &ledger); err != nil {
			d.breach("ledger not read: %v", err)
			return
		}
		for key, count := range ledger {
			runs[key] += count
		}
	}
	for key, record := range d.keys {
		switch count := runs[key]; {
		case count > 1:
			d.breach("order %s ran %d times", key, count)
		case count == 0 && len(record.answers) > 0:
			d.breach("order %s was answered and never ran", key)
		case count > 0 && len(record.answers)+record.unknown == 0:
			d.breach("order %s ran although callers were told it had not", key)
		}
		for _, answer := range record.answers {
			if answer != record.answers[0] {
				d.breach("order %s was answered in two ways", key)
			}
		}
	}
}

// get reads a JSON document.
func (d *demo) get(ctx context.Context, url string, content any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(content); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}
	return nil
}

// awaitTrainer waits for the trainer's report.
func (d *demo) awaitTrainer(ctx context.Context) (*trainerReport, error) {
	for until := time.Now().Add(d.command.Duration("trainer-wait")); time.Now().Before(until) && ctx.Err() == nil; {
		content, err := os.ReadFile(d.command.String("trainer-report"))
		var report trainerReport
		if err == nil && json.Unmarshal(content, &report) == nil {
			return &report, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("the trainer gave no report: %w", errBroken)
}

// linkBytes returns the bytes that the running daemons sent between regions.
func (d *demo) linkBytes(ctx context.Context) int64 {
	var sum int64
	for _, url := range d.command.StringSlice("operators") {
		var vars struct {
			Gypsumhook struct {
				Live    int64 `json:"live_link_bytes"`
				Trainer int64 `json:"trainer_link_bytes"`
			} `json:"gypsumhook"`
		}
		if err := d.get(ctx, url+"/debug/vars", &vars); err == nil {
			sum += vars.Gypsumhook.Live + vars.Gypsumhook.Trainer
		}
	}
	return sum
}

// print prints the report and returns an error if a promise was broken.
func (d *demo) print(ctx context.Context, report *trainerReport) error {
	w := d.command.Root().Writer
	fmt.Fprintln(w, "answers:")
	for kind, count := range d.answers {
		fmt.Fprintf(w, "  %-12s %d\n", kind, count)
	}
	fmt.Fprintf(w, "refusals and failures: (late: %d)\n", d.late)
	for kind, count := range d.refused {
		fmt.Fprintf(w, "  %-60s %d\n", kind, count)
	}
	fmt.Fprintf(w, "rollout plan %s: trainer idle %s of %s\n", report.Plan, report.Idle.Round(time.Millisecond), report.Total.Round(time.Millisecond))
	for _, step := range report.Steps {
		fmt.Fprintf(w, "  step %d (trainer at version %d): %d samples, versions %v, %d of mixed versions, %d scored, mean staleness %.2f, wait %s\n",
			step.Step, step.Trainer, step.Samples, step.Versions, step.Mixed, step.Scored, step.Staleness, step.Wait.Round(time.Millisecond))
	}
	fmt.Fprintf(w, "bytes sent between regions for calls: %d\n", d.linkBytes(ctx))
	broken := append(d.broken, report.Broken...)
	if d.late > 0 {
		broken = append(broken, fmt.Sprintf("%d calls got no final answer in time", d.late))
	}
	if d.answers["completion"] == 0 || d.answers["order"] == 0 {
		broken = append(broken, "no calls were answered")
	}
	if len(broken) == 0 {
		fmt.Fprintln(w, "promises: all kept")
		return nil
	}
	for _, breach := range broken {
		fmt.Fprintln(w, "BROKEN:", breach)
	}
	return errBroken
}
