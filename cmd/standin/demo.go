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

// callPause is how long a caller pauses between two calls.
const callPause = 10 * time.Millisecond

// callTimeout is the deadline of each call.
const callTimeout = 3 * time.Second

// attemptsPerOrder is how often each order is sent, each time through another entry host.
const attemptsPerOrder = 2

// errGuaranteeViolated is returned if a guarantee was violated or the trainer has written no
// report to check.
var errGuaranteeViolated = errors.New("a guarantee was violated")

// demoCommand returns the command that runs the demo and checks its results.
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

// demo sends calls and records what their callers observe.
type demo struct {
	command *cli.Command
	caller  *check.Caller
	hosts   []gypsum.HostID
}

// runDemo sends the calls, checks the guarantees and prints the report.
func runDemo(ctx context.Context, command *cli.Command) error {
	clients := make(map[gypsum.HostID]*client.Client)
	for _, c := range newClients(command) {
		clients[gypsum.HostID(c.BaseURL)] = c
	}
	d := &demo{
		command: command, hosts: slices.Sorted(maps.Keys(clients)),
		caller: &check.Caller{
			Recorder: &check.Recorder{}, Timeout: callTimeout,
			Dial: func(via gypsum.HostID) gypsum.CallRunner { return clients[via] },
		},
	}
	d.sendCalls(ctx)
	report, err := d.waitForTrainer(ctx)
	if err != nil {
		return err
	}
	executions, err := d.fetchExecutionCounts(ctx)
	if err != nil {
		return err
	}
	d.caller.CheckExecutions(executions)
	return d.printReport(ctx, report)
}

// sendCalls sends calls through all entry hosts for the duration of the flag "for".
func (d *demo) sendCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.command.Duration("for"))
	defer cancel()
	var wg sync.WaitGroup
	for caller := range d.command.Int("callers") {
		wg.Go(func() { d.sendCompletions(ctx, caller) })
		wg.Go(func() { d.sendOrders(ctx, caller) })
	}
	wg.Wait()
}

// sendCompletions sends completion requests, one after the other, until ctx is done.
func (d *demo) sendCompletions(ctx context.Context, caller int) {
	for call := 0; ctx.Err() == nil; call++ {
		prompt := fmt.Sprintf("crew for trawler %d-%d", caller, call)
		d.caller.RequestCompletion(context.WithoutCancel(ctx), d.hosts[(caller+call)%len(d.hosts)], prompt, gypsum.RecoveryResume)
		time.Sleep(callPause)
	}
}

// sendOrders sends non-idempotent orders until ctx is done. Each is sent several times with
// the same idempotency key, through different entry hosts.
func (d *demo) sendOrders(ctx context.Context, caller int) {
	for call := 0; ctx.Err() == nil; call++ {
		key := check.NewKey()
		for send := range attemptsPerOrder {
			d.caller.PostOrder(context.WithoutCancel(ctx), d.hosts[(caller+call+send)%len(d.hosts)], key, `{"crew":3}`)
		}
		time.Sleep(callPause)
	}
}

// fetchExecutionCounts returns how often each order ran on all replicas together, by
// idempotency key.
func (d *demo) fetchExecutionCounts(ctx context.Context) (map[string]int, error) {
	executions := make(map[string]int)
	for _, url := range d.command.StringSlice("ledger") {
		var replicaExecutions map[string]int
		if err := getJSON(ctx, url+"/ledger", &replicaExecutions); err != nil {
			return nil, err
		}
		for key, count := range replicaExecutions {
			executions[key] += count
		}
	}
	return executions, nil
}

// getJSON fetches a JSON document and decodes it into result.
func getJSON(ctx context.Context, url string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}
	return nil
}

// waitForTrainer waits until the trainer has written its report.
func (d *demo) waitForTrainer(ctx context.Context) (*trainerReport, error) {
	for deadline := time.Now().Add(d.command.Duration("trainer-wait")); time.Now().Before(deadline) && ctx.Err() == nil; {
		content, err := os.ReadFile(d.command.String("trainer-report"))
		var report trainerReport
		if err == nil && json.Unmarshal(content, &report) == nil {
			return &report, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("no report from the trainer: %w", errGuaranteeViolated)
}

// crossRegionBytes returns the number of bytes that the daemons still running have sent to
// other regions in calls.
func (d *demo) crossRegionBytes(ctx context.Context) int64 {
	var sum int64
	for _, url := range d.command.StringSlice("operators") {
		var vars struct {
			Gypsumhook struct {
				Live    int64 `json:"live_link_bytes"`
				Trainer int64 `json:"trainer_link_bytes"`
			} `json:"gypsumhook"`
		}
		if err := getJSON(ctx, url+"/debug/vars", &vars); err == nil {
			sum += vars.Gypsumhook.Live + vars.Gypsumhook.Trainer
		}
	}
	return sum
}

// countResults counts the responses by kind, and the refusals by kind, reason and outcome.
// The only disturbance in the demo is a graceful shutdown, which must not interrupt
// requests. A failure with an unknown outcome is therefore recorded as a violation.
func (d *demo) countResults() (responses, refusals map[string]int) {
	responses, refusals = make(map[string]int), make(map[string]int)
	for _, result := range d.caller.Recorder.Results() {
		if result.Refusal == nil {
			responses[result.Kind]++
			continue
		}
		refusals[fmt.Sprintf("%s: %s, outcome %s", result.Kind, result.Refusal.Reason, result.Refusal.Outcome)]++
		if result.Refusal.Outcome != gypsum.OutcomeNotRun {
			d.caller.Recorder.ReportViolation("%s was cut off: %v", result.Kind, result.Refusal)
		}
	}
	return responses, refusals
}

// printReport prints the report. It returns errGuaranteeViolated if there was a violation.
func (d *demo) printReport(ctx context.Context, report *trainerReport) error {
	w := d.command.Root().Writer
	responses, refusals := d.countResults()
	for _, kind := range slices.Sorted(maps.Keys(responses)) {
		fmt.Fprintf(w, "answered: %-52s %d\n", kind, responses[kind])
	}
	for _, kind := range slices.Sorted(maps.Keys(refusals)) {
		fmt.Fprintf(w, "refused:  %-52s %d\n", kind, refusals[kind])
	}
	fmt.Fprintf(w, "rollout plan %s: trainer idle %s of %s\n", report.Plan, report.Idle.Round(time.Millisecond), report.Total.Round(time.Millisecond))
	for _, step := range report.Steps {
		fmt.Fprintf(w, "  step %d, trainer at version %d: %d samples of versions %s, %d of mixed versions, %d scored, mean staleness %.2f, wait %s\n",
			step.Step, step.TrainerVersion, step.Samples, formatVersions(step.Versions), step.MixedVersions, step.Scored, step.MeanStaleness, step.Wait.Round(time.Millisecond))
	}
	fmt.Fprintf(w, "bytes sent between regions for calls: %d\n", d.crossRegionBytes(ctx))
	violations := append(d.caller.Recorder.Violations(), report.Violations...)
	if responses["completion"] == 0 || responses["order"] == 0 || len(report.Steps) == 0 {
		violations = append(violations, "no calls or samples were answered")
	}
	if len(violations) == 0 {
		fmt.Fprintln(w, "promises: all kept")
		return nil
	}
	for _, violation := range violations {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
	return errGuaranteeViolated
}

// formatVersions formats sample counts by weight version, each as COUNTxVERSION.
func formatVersions(versions map[gypsum.WeightVersion]int) string {
	text := ""
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		text += strconv.Itoa(versions[version]) + "x" + strconv.Itoa(int(version)) + " "
	}
	return text
}
