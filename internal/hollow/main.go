// Command hollow measures what nodes cost with nothing to carry: real gateways and
// control nodes, many to a process, each at a loopback address of its own, with a stand-in
// for the platform's list, a configuration of any size, and changes of it. docs/CAPACITY.md
// says how it is run and what it showed.
//
// The control nodes are in one process and the gateways in others, so that the system tells what
// each kind uses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/gateway"
	"madderwing/internal/settings"
)

type plan struct {
	gateways, controlNodes, zones, upstreams, services, routes int
	changes, keys                                              int
	span, settle                                               time.Duration
	rollout                                                    bool
}

const listAddress = "127.9.0.1:18142"

func main() {
	var p plan
	flag.IntVar(&p.gateways, "gateways", 100, "data-plane nodes")
	flag.IntVar(&p.controlNodes, "controlNodes", 4, "control-plane nodes, one a zone")
	flag.IntVar(&p.upstreams, "upstreams", 300, "upstreams that the platform lists")
	flag.IntVar(&p.services, "services", 4, "services")
	flag.IntVar(&p.routes, "routes", 100, "routes")
	flag.IntVar(&p.changes, "changes", 0, "changes of a route during the measurement")
	flag.IntVar(&p.keys, "keys", 0, "services that have had an order, and so a key of their own")
	flag.BoolVar(&p.rollout, "rollout", false, "order a rollout before the measurement")
	flag.DurationVar(&p.span, "for", 20*time.Second, "time measured, after the nodes have settled")
	flag.DurationVar(&p.settle, "settle", 0, "time to wait after keys were made, before the measurement")
	role := flag.String("role", "", "for its own use")
	data := flag.String("data", "", "for its own use")
	from := flag.Int("from", 0, "for its own use")
	flag.Parse()
	p.zones = p.controlNodes
	log.SetFlags(0)
	switch *role {
	case "controlNodes":
		p.runControlNodes(*data)
		return
	case "gateways":
		p.runGateways(*from, min(*from+perProcess, p.gateways))
		return
	}
	if err := p.run(); err != nil {
		log.Fatal(err)
	}
}

func (p *plan) zone(i int) string { return fmt.Sprintf("z%02d", i%p.zones) }

func controlNodeIP(i int) string { return fmt.Sprintf("127.1.%d.1", i) }
func gatewayIP(i int) string     { return fmt.Sprintf("127.2.%d.%d", i/200, 1+i%200) }

func (p *plan) settings(ip, zone, node, data string) *settings.Settings {
	var seeds []string
	for i := range min(3, p.controlNodes) {
		seeds = append(seeds, strconv.Quote(controlNodeIP(i)+":18146"))
	}
	var zones strings.Builder
	for i := range p.zones {
		fmt.Fprintf(&zones, "%s = \"home\"\n", p.zone(i))
	}
	text := fmt.Sprintf(`node = %q
ip = %q
zone = %q
internalPorts = [17660, 17675]
seedNodes = [%s]
bootstrap = true
inQuorum = true
dataDir = %q
[zones]
%s[bind]
front = "%s:18144"
readiness = "%s:18140"
control = "%s:18146"
[limits]
memoryMb = 256
maxFds = 4100
[bounds]
contactS = 5
ackS = 6
drainS = 3
graceS = 6
configApplyS = 3
retryRatio = 0.2
retryWindowS = 10
retrySlack = 200
warmupOvershoot = 1.5
warmupSlack = 8
evacuateS = 5
exposureShare = 0.1
rollbackS = 5
[cloudApi]
address = %q
ratePerS = 480.0
maxLagS = 0.8
`, node, ip, zone, strings.Join(seeds, ", "), data, zones.String(), ip, ip, ip, listAddress)
	set, err := settings.Parse([]byte(text))
	if err != nil {
		log.Fatal(err)
	}
	return set
}

func (p *plan) runControlNodes(data string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	done := make(chan error, p.controlNodes)
	for i := range p.controlNodes {
		set := p.settings(controlNodeIP(i), p.zone(i), fmt.Sprintf("control node-%d", i), fmt.Sprintf("%s/%d", data, i))
		go func() {
			done <- controlplane.Run(ctx, set, controlplane.Options{Shards: 2, Relist: 30 * time.Second}, nil)
		}()
	}
	for range p.controlNodes {
		if err := <-done; err != nil {
			log.Fatal(err)
		}
	}
}

// perProcess is how many gateways a process holds: each needs some 25 descriptors.
const perProcess = 350

func (p *plan) runGateways(from, to int) {
	for i := from; i < to; i++ {
		set := p.settings(gatewayIP(i), p.zone(i), fmt.Sprintf("gateway-%d", i), "")
		go func() { log.Fatal(gateway.Run(context.Background(), set, gateway.Options{Shards: 2}, nil)) }()
		if i%20 == 19 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	select {}
}

// platform answers with the list of upstreams; those of a second version are listed
// when they are asked for.
func (p *plan) platform(second chan struct{}) {
	page := func(version string) (out []map[string]any) {
		for i := range p.upstreams {
			out = append(out, map[string]any{"id": fmt.Sprintf("%s-%06d", version, i), "target": fmt.Sprintf("s%03d", i%p.services),
				"address": fmt.Sprintf("127.8.%d.%d:19000", i/200%250, 1+i%200), "zone": p.zone(i / p.services), "generation": version,
				"capacity": 4, "state": "ready", "warmupLeftS": 0})
		}
		return out
	}
	body, _ := json.Marshal(map[string]any{"instances": page("v1")})
	both, _ := json.Marshal(map[string]any{"instances": append(page("v1"), page("v2")...)})
	log.Fatal(http.ListenAndServe(listAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-second:
			_, _ = w.Write(both)
		default:
			_, _ = w.Write(body)
		}
	})))
}

func (p *plan) config() []byte {
	type m = map[string]any
	var services, routes []m
	for i := range p.services {
		services = append(services, m{"name": fmt.Sprintf("s%03d", i), "healthPath": "/health", "maxConns": 500, "protocol": "h1", "tls": false, "warmupS": 3, "warmupPerS": 5, "generation": 1})
	}
	for i := range p.routes {
		routes = append(routes, p.route(i, 1))
	}
	body, _ := json.Marshal(m{"upsert": m{"services": services, "domains": []m{{"authority": "h.example", "hostRoutes": routes}}}, "remove": m{"routes": []m{}}})
	return body
}

func (p *plan) route(i, generation int) map[string]any {
	return map[string]any{"name": fmt.Sprintf("r%05d", i), "pathPrefix": fmt.Sprintf("/p%05d/", i), "routeKind": "idempotent", "deadlineS": 2,
		"targetLatencyS": 0.8, "priority": 1, "target": fmt.Sprintf("s%03d", i%p.services), "maxTries": 2, "generation": generation}
}

func call(method, path string, body []byte) ([]byte, error) {
	var last error
	for range 100 {
		req, err := http.NewRequest(method, "http://"+controlNodeIP(0)+":18146"+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			text, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return text, nil
			}
			err = fmt.Errorf("%d %s", res.StatusCode, text)
		}
		last = err
		time.Sleep(200 * time.Millisecond)
	}
	return nil, last
}

// usage is what processes have used so far.
type usage struct {
	cpu    time.Duration
	memory float64 // MB resident
}

func used(pids ...int) (u usage) {
	for _, pid := range pids {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		f := strings.Fields(rest)
		for _, ticks := range f[11:13] {
			n, _ := strconv.Atoi(ticks)
			u.cpu += time.Duration(n) * 10 * time.Millisecond
		}
		pages, _ := strconv.Atoi(f[21])
		u.memory += float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	}
	return u
}

type counters struct {
	FramesSent uint64 `json:"framesSent"`
	BytesSent  uint64 `json:"bytesSent"`
}

// loopback is the bytes that crossed the loopback interface, headers included.
func loopback() (n uint64) {
	text, _ := os.ReadFile("/proc/net/dev")
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[0] == "lo:" {
			n, _ = strconv.ParseUint(f[1], 10, 64)
		}
	}
	return n
}

// behind counts the gateways without the newest items; -1: not known.
func behind() int {
	text, err := call(http.MethodGet, "/v1/admin/delivery?current=false", nil)
	var list []controlplane.Delivery
	if err != nil || json.Unmarshal(text, &list) != nil {
		return -1
	}
	return len(list)
}

// keyCallers is how many keys are made at once: each takes an election.
const keyCallers = 16

// makeKeys orders a rollout of many services, of which each gets a key, and waits until
// what that set off has ended.
func (p *plan) makeKeys() error {
	if p.keys == 0 {
		return nil
	}
	begin := time.Now()
	services := make(chan int)
	failed := make(chan error, keyCallers)
	for range keyCallers {
		go func() {
			var err error
			for i := range services {
				body := fmt.Sprintf(`{"target":"s%03d","targetVersion":"v1","withinS":60}`, i)
				if _, e := call(http.MethodPost, "/v1/rollouts", []byte(body)); e != nil {
					err = e
				}
			}
			failed <- err
		}()
	}
	for i := range p.keys {
		services <- i
	}
	close(services)
	for range keyCallers {
		if err := <-failed; err != nil {
			return err
		}
	}
	fmt.Printf("%d keys made in %.1f s\n", p.keys, time.Since(begin).Seconds())
	time.Sleep(p.settle)
	return nil
}

func (p *plan) run() error {
	data, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return err
	}
	defer os.RemoveAll(data)
	second := make(chan struct{})
	go p.platform(second)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var children []*exec.Cmd
	start := func(role ...string) (pid int, err error) {
		c := exec.Command(self, append(append([]string{}, os.Args[1:]...), role...)...)
		if err := c.Start(); err != nil {
			return 0, err
		}
		children = append(children, c)
		return c.Process.Pid, nil
	}
	defer func() {
		for _, c := range children {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}()
	control, err := start("-role", "controlNodes", "-data", data)
	if err != nil {
		return err
	}
	if _, err := call(http.MethodPatch, "/v1/config", p.config()); err != nil {
		return err
	}
	var gateways []int
	for from := 0; from < p.gateways; from += perProcess {
		pid, err := start("-role", "gateways", "-from", strconv.Itoa(from))
		if err != nil {
			return err
		}
		gateways = append(gateways, pid)
	}
	begin := time.Now()
	for calm := 0; calm < 5 && time.Since(begin) < 4*time.Minute; calm++ {
		time.Sleep(time.Second)
		if text, err := call(http.MethodGet, "/v1/admin/summary", nil); err == nil {
			var s controlplane.Summary
			if json.Unmarshal(text, &s) != nil || s.Gateways != p.gateways || s.Behind > 0 {
				calm = -1
			}
		}
	}
	fmt.Printf("settled after %.0f s with %d gateways behind\n", time.Since(begin).Seconds(), behind())
	time.Sleep(5 * time.Second)

	get := func() (c counters) {
		text, _ := call(http.MethodGet, "/v1/admin/counters", nil)
		_ = json.Unmarshal(text, &c)
		return c
	}
	if err := p.makeKeys(); err != nil {
		return err
	}
	if p.rollout {
		close(second)
		if _, err := call(http.MethodPost, "/v1/rollouts", []byte(`{"target":"s000","targetVersion":"v2","withinS":600}`)); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
	}
	d0, a0, l0, c0, at := used(gateways...), used(control), loopback(), get(), time.Now()
	var slowest time.Duration
	for n := range p.changes {
		time.Sleep(p.span / time.Duration(p.changes+1))
		body, _ := json.Marshal(map[string]any{"upsert": map[string]any{"domains": []any{map[string]any{"authority": "h.example",
			"hostRoutes": []any{p.route(n%p.routes, n+2)}}}}, "remove": map[string]any{"routes": []any{}}})
		sent := time.Now()
		if _, err := call(http.MethodPatch, "/v1/config", body); err != nil {
			return err
		}
		slowest = max(slowest, time.Since(sent))
	}
	time.Sleep(time.Until(at.Add(p.span)))
	d1, a1, l1, c1, span := used(gateways...), used(control), loopback(), get(), time.Since(at).Seconds()
	per := func(n float64, of int) float64 { return n / span / float64(of) }
	fmt.Printf("gateways %d control nodes %d upstreams %d services %d routes %d changes %d keys %d rollout %v\n", p.gateways, p.controlNodes, p.upstreams, p.services, p.routes, p.changes, p.keys, p.rollout)
	fmt.Printf("gateway:    %.3f %% of a core, %.2f MB resident\n", 100*per((d1.cpu-d0.cpu).Seconds(), p.gateways), d1.memory/float64(p.gateways))
	fmt.Printf("control node: %.3f %% of a core, %.1f MB resident; one sends %.2f kB/s in %.1f frames\n", 100*per((a1.cpu-a0.cpu).Seconds(), p.controlNodes),
		a1.memory/float64(p.controlNodes), per(float64(c1.BytesSent-c0.BytesSent), 1)/1e3, per(float64(c1.FramesSent-c0.FramesSent), 1))
	fmt.Printf("all:     %.2f kB/s a node, headers and datagrams included\n", per(float64(l1-l0), p.gateways+p.controlNodes)/1e3)
	if p.changes > 0 {
		fmt.Printf("changes: the slowest was acknowledged after %.0f ms; %d gateways are behind at the end\n", slowest.Seconds()*1e3, behind())
	}
	return nil
}
