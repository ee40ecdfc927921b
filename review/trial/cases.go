package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// route returns a route of a manifest.
func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "max_attempts": 3,
	}
}

// plainRoute returns a route of idempotent requests.
func plainRoute(name, prefix, service string) map[string]any {
	r := route(name, prefix, "idempotent")
	r["service"] = service
	return r
}

// lotRoute returns a route of batch submissions.
func lotRoute(service string) map[string]any {
	r := route("r-lots", "/pufi791/", "rollout")
	r["result_due_ms"], r["retention_s"] = 7500, 40
	if service != "" {
		r["service"] = service
	}
	return r
}

// plainService and engineService return services of a manifest.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	service := plainService(name)
	service["engine"] = map[string]any{"slots": 16, "kv_capacity": 37622, "stride": 1, "models": []any{map[string]any{"name": model}}}
	return service
}

// newLot returns a batch submission of some groups of four items.
func newLot(id string, groups int) lot {
	submitted := lot{id: id}
	for i := range groups * 4 {
		submitted.items = append(submitted.items, fmt.Sprintf("%s%04x", id[:12], i))
	}
	return submitted
}

// tryCatchAll adds a route with the prefix "/" to the host of a route of batch submissions, and then reads a
// batch submission that was accepted and read before.
func tryCatchAll(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.addReplicas("xano55b", "", 2); err != nil {
		return false, err
	}
	if err := d.addReplicas("huvo11a", model, 3); err != nil {
		return false, err
	}
	routes := []any{plainRoute("r-live", "/lohu930/", "xano55b"), lotRoute("huvo11a")}
	services := []any{plainService("xano55b"), engineService("huvo11a")}
	d.putManifest(1, routes, services)
	if err := d.start(ctx, 3); err != nil {
		return false, err
	}
	submitted := newLot("7c41e09b52d6a3f8", 3)
	if !d.submit(ctx, "/pufi791/", submitted) || !d.readAll(ctx, submitted, 15*time.Second) {
		return false, fmt.Errorf("%w: the batch submission was not accepted and completed", errNotRun)
	}
	added := plainRoute("r-added", "/extra/", "xano55b")
	if trouble {
		added = plainRoute("r-added", "/", "xano55b")
	}
	d.putManifest(3, append(routes, added), services)
	time.Sleep(configApply + time.Second)
	probe := d.send(ctx, d.daemons[0], http.MethodPost, added["path_prefix"].(string)+"some/page", "9c41d07be2a35f68", []byte("x"))
	if probe.status != http.StatusOK {
		return false, fmt.Errorf("%w: the added route is not in force", errNotRun)
	}
	// The results were read before. Each daemon is asked three times, within ten seconds.
	readable := 0
	for range 3 {
		for _, to := range d.daemons {
			if results, _, ok := d.read(ctx, to, submitted); ok && len(results.Results) == len(submitted.items) {
				readable++
			}
		}
		time.Sleep(time.Second)
	}
	ended := d.send(ctx, d.daemons[0], http.MethodDelete, "/lots/"+submitted.id, "", nil).status == http.StatusOK
	r.add("after manifest 3, %d of %d reads of the accepted batch submission gave its results; its end was accepted: %t", readable, 3*len(d.daemons), ended)
	return readable == 0, nil
}

// tryWeights splits the route of batch submissions and gives the old service the weight 0. A batch submission
// that is sent after that is to run at the new service.
func tryWeights(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, service := range []string{"huvo11a", "wuno96b"} {
		if err := d.addReplicas(service, model, 3); err != nil {
			return false, err
		}
	}
	services := []any{engineService("huvo11a"), engineService("wuno96b")}
	d.putManifest(1, []any{lotRoute("huvo11a")}, services)
	if err := d.start(ctx, 3); err != nil {
		return false, err
	}
	first := newLot("11c1e09b52d6a3f8", 3)
	if !d.submit(ctx, "/pufi791/", first) || !d.readAll(ctx, first, 15*time.Second) {
		return false, fmt.Errorf("%w: the first batch submission was not accepted and completed", errNotRun)
	}
	split := lotRoute("")
	split["traffic_split"] = []any{map[string]any{"service": "huvo11a", "weight": 0}, map[string]any{"service": "wuno96b", "weight": 100}}
	if !trouble {
		split = lotRoute("wuno96b") // the same change as a plain move
	}
	d.putManifest(3, []any{split}, services)
	time.Sleep(configApply + 2*time.Second)
	second := newLot("22c1e09b52d6a3f8", 3)
	if !d.submit(ctx, "/pufi791/", second) || !d.readAll(ctx, second, 15*time.Second) {
		return false, fmt.Errorf("%w: the second batch submission was not accepted and completed", errNotRun)
	}
	old := 0
	for _, p := range d.replicas {
		for _, id := range p.ranIDs() {
			if p.service == "huvo11a" && slices.Contains(second.items, id) {
				old++
			}
		}
	}
	r.add("of %d items that were sent after manifest 3, the service with the weight 0 ran %d", len(second.items), old)
	return old > 0, nil
}

// statusS is the bound status_s of the deployment of tryOpenLot.
const statusS = 60

// tryOpenLot leaves a batch submission open, all of whose items are listed, and reads it again after status_s.
func tryOpenLot(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.statusS = statusS
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.addReplicas("huvo11a", model, 3); err != nil {
		return false, err
	}
	d.putManifest(1, []any{lotRoute("huvo11a")}, []any{engineService("huvo11a")})
	if err := d.start(ctx, 3); err != nil {
		return false, err
	}
	submitted := newLot("33c1e09b52d6a3f8", 3)
	if !d.submit(ctx, "/pufi791/", submitted) || !d.readAll(ctx, submitted, 15*time.Second) {
		return false, fmt.Errorf("%w: the batch submission was not accepted and completed", errNotRun)
	}
	away := 10 * time.Second
	if trouble {
		away = (statusS + 30) * time.Second
	}
	r.add("the trainer is away for %s; its batch submission is open", away)
	time.Sleep(away)
	lost := 0
	for range 2 {
		for _, to := range d.daemons {
			if _, status, _ := d.read(ctx, to, submitted); status == http.StatusNotFound || status == http.StatusGone {
				lost++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.add("%d of %d reads of the open batch submission were answered 404 or 410", lost, 2*len(d.daemons))
	return lost > 0, nil
}

// Load and disruption of tryCrash.
const (
	crashTime   = 4500 * time.Millisecond
	clientPause = 15 * time.Millisecond
	workTime    = 200 * time.Millisecond
	contact     = 4 * time.Second
	watchTime   = 20 * time.Second
)

// tally counts the requests of one kind by their answers.
type tally struct{ sent, served int }

// tryCrash lets all replicas of a service crash once, while clients fetch the same page of it. Long after they are
// back, the requests on the route of the page are compared with those on the first route, to the same replicas.
func tryCrash(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.addReplicas("xano55b", "", 3); err != nil {
		return false, err
	}
	if err := d.addReplicas("huvo11a", model, 3); err != nil {
		return false, err
	}
	services := []any{plainService("xano55b"), engineService("huvo11a")}
	first, added := plainRoute("r-first", "/lohu930/", "xano55b"), plainRoute("r-added", "/page/", "xano55b")
	d.putManifest(1, []any{first, lotRoute("huvo11a")}, services)
	if err := d.start(ctx, 3); err != nil {
		return false, err
	}
	d.putManifest(3, []any{first, lotRoute("huvo11a"), added}, services)
	time.Sleep(configApply + time.Second)
	before := d.load(ctx, 5*time.Second)
	if before["/page/"].served < before["/page/"].sent*9/10 {
		return false, fmt.Errorf("%w: the pages are not served before the crash", errNotRun)
	}
	done := make(chan map[string]tally, 1)
	go func() { done <- d.load(ctx, crashTime+2*time.Second) }()
	time.Sleep(time.Second)
	if trouble {
		if err := d.crashAll("xano55b"); err != nil {
			return false, err
		}
	} else {
		time.Sleep(crashTime)
	}
	<-done
	time.Sleep(contact + 2*time.Second)
	r.add("steady state begins: the replicas have been back for %s", contact+2*time.Second)
	after := d.load(ctx, watchTime)
	share := func(t tally) float64 { return float64(t.served) / float64(max(1, t.sent)) }
	r.add("in steady state, on the first route %d of %d requests were served, on the added route %d of %d", after["/lohu930/"].served, after["/lohu930/"].sent,
		after["/page/"].served, after["/page/"].sent)
	if after["/page/"].sent < 20 || share(after["/lohu930/"]) < 0.5 {
		return false, fmt.Errorf("%w: too few requests in steady state", errNotRun)
	}
	return share(after["/page/"]) < share(after["/lohu930/"])/4, nil
}

// load sends requests for a time: the same page on the added route, and one of many objects on the first route.
func (d *deployment) load(ctx context.Context, length time.Duration) map[string]tally {
	results := make(chan struct {
		prefix string
		served bool
	})
	counts := make(map[string]tally)
	end, number, open := time.Now().Add(length), 0, 0
	ticker := time.NewTicker(clientPause)
	defer ticker.Stop()
	for time.Now().Before(end) || open > 0 {
		select {
		case result := <-results:
			count := counts[result.prefix]
			count.sent++
			if result.served {
				count.served++
			}
			counts[result.prefix] = count
			open--
		case <-ticker.C:
			if !time.Now().Before(end) {
				continue
			}
			number++
			prefix, target := "/page/", "/page/ward-7"
			if number%4 == 0 {
				prefix, target = "/lohu930/", fmt.Sprintf("/lohu930/%d-%d", end.UnixNano(), number)
			}
			to := d.daemons[number%len(d.daemons)]
			open++
			go func() {
				got := d.send(ctx, to, http.MethodGet, target, fmt.Sprintf("%016x", d.nextID.Add(1)), nil)
				results <- struct {
					prefix string
					served bool
				}{prefix, got.status == http.StatusOK && got.stamp != ""}
			}()
		}
	}
	return counts
}

// crashAll crashes all replicas of a service. They are back after crashTime, under new ids.
func (d *deployment) crashAll(service string) error {
	for _, p := range d.replicas {
		if p.service == service {
			p.crash()
		}
	}
	d.record.add("all replicas of %s crash", service)
	time.Sleep(crashTime)
	for _, p := range d.replicas {
		if p.service == service {
			if err := d.restart(p); err != nil {
				return err
			}
		}
	}
	d.record.add("all replicas of %s are back", service)
	return nil
}

// Times of tryDarkPoison: how long a crashed replica is away, and the pause between two attempts of the client.
const (
	poisonAway  = 3 * time.Second
	poisonPause = 6 * time.Second
	poisonTries = 8
)

// tryDarkPoison sends a request that crashes each replica that begins to run it, again and again. With trouble, the
// replicas go dark as they crash; otherwise their channels are closed.
func tryDarkPoison(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.addReplicas("xano55b", "", 4); err != nil {
		return false, err
	}
	if err := d.addReplicas("huvo11a", model, 2); err != nil {
		return false, err
	}
	var crashes []time.Time
	var mu sync.Mutex
	for _, p := range d.replicas {
		if p.service != "xano55b" {
			continue
		}
		p.poison = func(p *replica) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			count := len(crashes)
			mu.Unlock()
			r.add("replica %s crashes, %d crashes so far", p.current(), count)
			if trouble {
				p.goDark()
			} else {
				p.crash()
			}
			time.AfterFunc(poisonAway, func() {
				if err := d.restart(p); err != nil {
					r.add("restart: %v", err)
				}
			})
		}
	}
	d.putManifest(1, []any{plainRoute("r-first", "/lohu930/", "xano55b"), lotRoute("huvo11a")}, []any{plainService("xano55b"), engineService("huvo11a")})
	if err := d.start(ctx, 3); err != nil {
		return false, err
	}
	d.load(ctx, 2*time.Second)
	for try := range poisonTries {
		d.send(ctx, d.daemons[try%len(d.daemons)], http.MethodPost, "/lohu930/poison", fmt.Sprintf("aa%014x", try), []byte("poison"))
		time.Sleep(poisonPause)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return false, fmt.Errorf("%w: the request crashed %d replicas", errNotRun, len(crashes))
	}
	late := 0
	for _, at := range crashes[3:] {
		if at.Sub(crashes[2]) > contact {
			late++
		}
	}
	r.add("%d replicas were crashed, %d of them later than contact_ms after the third crash", len(crashes), late)
	return late > 3, nil
}

// Load of trySecondCopy, and its dose, which is that of an entry of the site file.
const (
	orderReplicas  = 5
	orderPause     = 3 * time.Millisecond
	orderWork      = 120 * time.Millisecond
	orderSlots     = 6
	garbleReplicas = 3 // a share of 0.6
	garbleTime     = 5 * time.Second
	garblePart     = 0.03
	garbleRuns     = 10
)

// setSpoil sets the share of the answers that replicas spoil.
func setSpoil(replicas []*rawReplica, share float64) {
	for _, p := range replicas {
		p.setSpoil(share)
	}
}

// trySecondCopy sends requests that are not idempotent to busy replicas, of which some spoil a few of their answers: a
// second copy comes late, where the next answer is due.
func trySecondCopy(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.addRaw("xano55b", orderReplicas, orderSlots, orderWork); err != nil {
		return false, err
	}
	orders := plainRoute("r-orders", "/lohu930/", "xano55b")
	orders["kind"] = "non_idempotent"
	d.putManifest(1, []any{orders}, []any{plainService("xano55b")})
	if err := d.start(ctx, 3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	refused := make(map[string]int)
	var wg sync.WaitGroup
	for range garbleRuns {
		if trouble {
			r.add("%d of %d replicas begin to spoil %v of their answers, for %s", garbleReplicas, orderReplicas, garblePart, garbleTime)
			setSpoil(d.raw[:garbleReplicas], garblePart)
		}
		for end, number := time.Now().Add(garbleTime), 0; time.Now().Before(end); number++ {
			id, to := fmt.Sprintf("%016x", d.nextID.Add(1)), d.daemons[number%len(d.daemons)]
			wg.Go(func() {
				got := d.send(ctx, to, http.MethodPost, "/lohu930/order", id, []byte("order "+id))
				if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
					mu.Lock()
					refused[id] = got.status
					mu.Unlock()
				}
			})
			time.Sleep(orderPause)
		}
		setSpoil(d.raw, 0)
		time.Sleep(time.Second)
	}
	wg.Wait()
	total := make(map[string]int)
	for _, p := range d.raw {
		for id, count := range p.runs() {
			total[id] += count
		}
	}
	twice, ranRefused := 0, 0
	for id, count := range total {
		if count > 1 {
			twice++
			r.add("request %s, which isn't idempotent, ran %d times", id, count)
		}
		if refused[id] != 0 {
			ranRefused++
			r.add("request %s was answered %d and ran", id, refused[id])
		}
	}
	spoiled := 0
	for _, p := range d.raw {
		spoiled += p.spoiled
	}
	r.add("%d requests ran, %d were refused; %d answers were sent twice; %d requests ran twice, %d ran and were refused", len(total), len(refused), spoiled, twice, ranRefused)
	if len(total) < 100 {
		return false, fmt.Errorf("%w: only %d requests ran", errNotRun, len(total))
	}
	return twice > 0 || ranRefused > 0, nil
}
