package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/check"
	"github.com/gypsumhook/gypsum/client"
)

// demoGap is the pause of a caller between two calls.
const demoGap = 10 * time.Millisecond

// demoTimeout is the deadline of each call.
const demoTimeout = 3 * time.Second

// orderRepeats is how often each order is sent, each time through another host.
const orderRepeats = 2

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
	caller  *check.Caller
	hosts   []gypsum.HostID
}

// runDemo sends the calls, checks the promises and prints the report.
func runDemo(ctx context.Context, command *cli.Command) error {
	entries := make(map[gypsum.HostID]*client.Entry)
	for _, entry := range entriesOf(command) {
		entries[gypsum.HostID(entry.Address)] = entry
	}
	d := &demo{
		command: command, hosts: slices.Sorted(maps.Keys(entries)),
		caller: &check.Caller{
			Recorder: &check.Recorder{}, Timeout: demoTimeout,
			Dial: func(via gypsum.HostID) gypsum.Runner { return entries[via] },
		},
	}
	d.drive(ctx)
	report, err := d.awaitTrainer(ctx)
	if err != nil {
		return err
	}
	runs, err := d.ledgers(ctx)
	if err != nil {
		return err
	}
	d.caller.CheckExecutions(runs)
	return d.print(ctx, report)
}

// drive sends calls through all hosts for a time.
func (d *demo) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.command.Duration("for"))
	defer cancel()
	var callers sync.WaitGroup
	for number := range d.command.Int("callers") {
		callers.Go(func() { d.completions(ctx, number) })
		callers.Go(func() { d.orders(ctx, number) })
	}
	callers.Wait()
}

// completions sends completions, one after another.
func (d *demo) completions(ctx context.Context, number int) {
	for call := 0; ctx.Err() == nil; call++ {
		prompt := fmt.Sprintf("crew for trawler %d-%d", number, call)
		d.caller.Complete(context.WithoutCancel(ctx), d.hosts[(number+call)%len(d.hosts)], prompt, gypsum.RecoveryResume)
		time.Sleep(demoGap)
	}
}

// orders sends non-idempotent orders, each again with the same key through
// another entry host.
func (d *demo) orders(ctx context.Context, number int) {
	for call := 0; ctx.Err() == nil; call++ {
		key := check.NewKey()
		for repeat := range orderRepeats {
			d.caller.PostOrder(context.WithoutCancel(ctx), d.hosts[(number+call+repeat)%len(d.hosts)], key, `{"crew":3}`)
		}
		time.Sleep(demoGap)
	}
}

// ledgers returns how often each order ran on all replicas.
func (d *demo) ledgers(ctx context.Context) (map[string]int, error) {
	runs := make(map[string]int)
	for _, url := range d.command.StringSlice("ledger") {
		var ledger map[string]int
		if err := get(ctx, url+"/ledger", &ledger); err != nil {
			return nil, err
		}
		for key, count := range ledger {
			runs[key] += count
		}
	}
	return runs, nil
}

// get reads a JSON document.
func get(ctx context.Context, url string, content any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
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
		if err := get(ctx, url+"/debug/vars", &vars); err == nil {
			sum += vars.Gypsumhook.Live + vars.Gypsumhook.Trainer
		}
	}
	return sum
}

// counts returns the answers by kind, and the refusals by kind, reason and
// outcome. In the demo nothing but a graceful stop happens, so that any other
// failure with an unknown outcome is a request that was cut off.
func (d *demo) counts() (answers, refusals map[string]int) {
	answers, refusals = make(map[string]int), make(map[string]int)
	for _, result := range d.caller.Recorder.Results() {
		if result.Refusal == nil {
			answers[result.Kind]++
			continue
		}
		refusals[fmt.Sprintf("%s: %s, outcome %s", result.Kind, result.Refusal.Reason, result.Refusal.Outcome)]++
		if result.Refusal.Outcome != gypsum.OutcomeNotRun {
			d.caller.Recorder.ReportViolation("%s was cut off: %v", result.Kind, result.Refusal)
		}
	}
	return answers, refusals
}

// print prints the report and returns an error if a promise was broken.
func (d *demo) print(ctx context.Context, report *trainerReport) error {
	w := d.command.Root().Writer
	answers, refusals := d.counts()
	for _, kind := range slices.Sorted(maps.Keys(answers)) {
		fmt.Fprintf(w, "answered: %-52s %d\n", kind, answers[kind])
	}
	for _, kind := range slices.Sorted(maps.Keys(refusals)) {
		fmt.Fprintf(w, "refused:  %-52s %d\n", kind, refusals[kind])
	}
	fmt.Fprintf(w, "rollout plan %s: trainer idle %s of %s\n", report.Plan, report.Idle.Round(time.Millisecond), report.Total.Round(time.Millisecond))
	for _, step := range report.Steps {
		fmt.Fprintf(w, "  step %d, trainer at version %d: %d samples of versions %s, %d of mixed versions, %d scored, mean staleness %.2f, wait %s\n",
			step.Step, step.Trainer, step.Samples, versionsOf(step.Versions), step.Mixed, step.Scored, step.Staleness, step.Wait.Round(time.Millisecond))
	}
	fmt.Fprintf(w, "bytes sent between regions for calls: %d\n", d.linkBytes(ctx))
	broken := append(d.caller.Recorder.Violations(), report.Broken...)
	if answers["completion"] == 0 || answers["order"] == 0 || len(report.Steps) == 0 {
		broken = append(broken, "no calls or samples were answered")
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

// versionsOf returns counts by version as text.
func versionsOf(versions map[gypsum.WeightVersion]int) string {
	text := ""
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		text += strconv.Itoa(versions[version]) + "x" + strconv.Itoa(int(version)) + " "
	}
	return text
}
