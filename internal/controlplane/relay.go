package controlplane

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/metrics"
	"madderwing/internal/rendezvous"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// A relay is a control node whose settings name no dataDir: it holds nothing, is in no
// list, and redirects the operator's calls to a control node at work. It does nothing
// between calls.

// relayKind is the question of a relay, which control nodes and relays answer.
const relayKind = "relay"

// relayQuestion asks who can serve a call that concerns a key.
type relayQuestion struct {
	Key string `cbor:"1,keyasint"`
}

// relayAnswer is what a control node, or another relay, knows.
type relayAnswer struct {
	Relay bool `cbor:"1,keyasint,omitempty"` // it is one; only Nodes says more
	// Works says that the control node hears the owner of the key or of the catalogue, and
	// isn't about to leave.
	Works bool              `cbor:"2,keyasint,omitempty"`
	Owner string            `cbor:"3,keyasint,omitempty"` // of the key, where it is known
	Nodes []membership.Node `cbor:"4,keyasint,omitempty"` // control nodes that are taken to be working
}

// How long things take at a relay, as parts of contactS: an answer after which another
// control node is asked as well, and a call in all. A caller gives a node up after a second.
const (
	relayPatience = 1.0 / 20
	relayLimit    = 1.0 / 6
	relayMost     = time.Second / 2
)

// answerRelays answers the questions of relays.
func (a *Node) answerRelays() {
	a.post.HandleSlow(relayKind, func(_ string, body []byte) (any, error) {
		var q relayQuestion
		if err := cbor.Unmarshal(body, &q); err != nil {
			a.post.Undecoded.Add(1)
			return nil, err
		}
		ch := make(chan relayAnswer, 1)
		a.do(func(now time.Duration) {
			ch <- answerRelay(q.Key, a.post.Self(), a.member.Keys(), func(key string) string { return a.member.Owner(now, key) }, a.reg.List())
		})
		return <-ch, nil
	})
}

// answerRelay is the answer about a key of a control node that has these keys, hears these
// owners and knows these nodes.
func answerRelay(key, self string, keys []string, owner func(key string) string, l *membership.List) (out relayAnswer) {
	// Asking for an owner makes the key, so only what is there is asked for.
	if slices.Contains(keys, key) {
		out.Owner = owner(key)
	}
	out.Works = out.Owner != "" || owner(config.Key) != ""
	for _, n := range l.Live(membership.Control) {
		if !n.Draining {
			out.Nodes = append(out.Nodes, n)
		} else if n.Address == self {
			out.Works = false
		}
	}
	return out
}

// picker finds the control node that a call is redirected to. It asks control nodes only when it
// is asked itself.
type picker struct {
	self     string
	zone     string
	patience time.Duration // then another is asked as well
	limit    time.Duration // for a call in all
	rest     time.Duration // for which a control node that gave no good answer comes last
	ask      func(ctx context.Context, to, key string) (relayAnswer, error)

	mu     sync.Mutex
	seeds  []string
	nodes  map[string]membership.Node // control nodes, as the newest good answer had them
	owners map[string]string
	failed map[string]time.Time
	last   string    // that gave the newest good answer
	lookAt time.Time // when there was one, or somebody who joins had one looked for
}

// pick names a working control node, the owner of the key where that is known and answers;
// empty: none answered in time.
func (p *picker) pick(key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), p.limit)
	defer cancel()
	asked := map[string]bool{p.self: true}
	first, owner := p.first(ctx, key, asked)
	if owner == "" || asked[owner] || p.resting(owner) {
		return first // none is known, or it answers no question
	}
	ctx, cancel = context.WithTimeout(ctx, p.patience)
	defer cancel()
	a, err := p.question(ctx, owner, key)
	switch {
	case err != nil:
		p.fails(owner)
	case a.Works && !a.Relay:
		return owner
	}
	return first
}

type heard struct {
	from   string
	answer relayAnswer
	err    error
}

// first asks one candidate after the other, another as well where one is slow, and
// gives the first that works and whom that takes for the owner. Those in asked are not
// asked, and all that are come into it.
func (p *picker) first(ctx context.Context, key string, asked map[string]bool) (from, owner string) {
	queue := p.candidates(key)
	answers := make(chan heard)
	slow := time.NewTimer(p.patience)
	defer slow.Stop()
	open, newest := 0, ""
	next := func() {
		for len(queue) > 0 {
			to := queue[0]
			queue = queue[1:]
			if asked[to] {
				continue
			}
			asked[to], newest = true, to
			open++
			slow.Reset(p.patience)
			go func() {
				answer, err := p.question(ctx, to, key)
				select {
				case answers <- heard{to, answer, err}:
				case <-ctx.Done():
				}
			}()
			return
		}
	}
	for next(); open > 0; {
		select {
		case h := <-answers:
			open--
			switch {
			case h.err != nil:
			case h.answer.Relay:
				for _, n := range h.answer.Nodes {
					queue = append(queue, n.Address)
				}
			case h.answer.Works:
				return h.from, h.answer.Owner
			}
			next()
		case <-slow.C:
			p.fails(newest) // unless it answers yet
			next()
		case <-ctx.Done():
			return "", ""
		}
	}
	return "", ""
}

// question asks one node, and notes what comes of it.
func (p *picker) question(ctx context.Context, to, key string) (relayAnswer, error) {
	a, err := p.ask(ctx, to, key)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil && a.Works && !a.Relay:
		delete(p.failed, to)
		p.nodes = map[string]membership.Node{}
		for _, n := range a.Nodes {
			p.nodes[n.Address] = n
		}
		if a.Owner != "" {
			p.owners[key] = a.Owner
		}
		p.last, p.lookAt = to, time.Now()
		maps.DeleteFunc(p.failed, func(id string, at time.Time) bool { return time.Since(at) > p.rest })
	case err != nil && ctx.Err() != nil:
		// Another was quicker, or the time is over: whoever asked knows what that says.
	default:
		p.failed[to] = time.Now()
	}
	return a, err
}

// fails notes that a node gives no good answer.
func (p *picker) fails(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[id] = time.Now()
}

// resting says whether a node has lately given no good answer.
func (p *picker) resting(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lately(id)
}

func (p *picker) lately(id string) bool {
	at, ok := p.failed[id]
	return ok && time.Since(at) < p.rest
}

// candidates lists whom to ask: the owner, who answered last, the other control nodes, those
// of the own zone first, the seeds; and at the end those that lately gave no good
// answer, the one that did so longest ago first.
func (p *picker) candidates(key string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.owners[key], p.last}
	known := rendezvous.Order(p.self, slices.Collect(maps.Keys(p.nodes)))
	slices.SortStableFunc(known, func(a, b string) int {
		return cmp.Compare(p.away(a), p.away(b))
	})
	out = append(append(out, known...), rendezvous.Order(p.self, p.seeds)...)
	seen := map[string]bool{"": true, p.self: true}
	out = slices.DeleteFunc(out, func(id string) bool {
		again := seen[id]
		seen[id] = true
		return again
	})
	bad := slices.DeleteFunc(slices.Clone(out), func(id string) bool { return !p.lately(id) })
	slices.SortStableFunc(bad, func(a, b string) int { return p.failed[a].Compare(p.failed[b]) })
	return append(slices.DeleteFunc(out, p.lately), bad...)
}

func (p *picker) away(id string) int {
	if p.nodes[id].Zone == p.zone {
		return 0
	}
	return 1
}

// setSeeds takes over other seeds.
func (p *picker) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// known lists the control nodes that this relay knows of.
func (p *picker) known() []membership.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.SortedFunc(maps.Values(p.nodes), func(a, b membership.Node) int { return strings.Compare(a.Address, b.Address) })
}

// introduce is for a node that joins and takes this relay for a control node: it tells the
// control nodes, after looking for them again if none has answered for a while.
func (p *picker) introduce(n membership.Node) []membership.Node {
	p.mu.Lock()
	if _, have := p.nodes[n.Address]; n.Plane == membership.Control && !have && len(p.nodes) < maxKnown {
		p.nodes[n.Address] = n
	}
	fresh := !p.lookAt.IsZero() && time.Since(p.lookAt) < p.rest
	if !fresh {
		p.lookAt = time.Now() // one look for all that join at once
	}
	p.mu.Unlock()
	if !fresh {
		p.pick(config.Key)
	}
	return slices.DeleteFunc(p.known(), func(k membership.Node) bool { return k.Address == n.Address })
}

// maxKnown bounds the control nodes that a relay remembers from their own word alone.
const maxKnown = 64

// relay is the process without a disk.
type relay struct {
	pick  func(key string) string
	known func() []membership.Node
	port  string        // of control, on all machines
	drain time.Duration // for which the rest of a call's body is read
	later time.Duration // after which a caller may come again
	log   *slog.Logger

	calls, redirected, refused atomic.Uint64
	away                       atomic.Bool // the last call found no control node
}

// runRelay serves until ctx ends.
func runRelay(ctx context.Context, set *settings.Settings, reload <-chan *settings.Settings) error {
	beat := set.Beat()
	post, err := transport.New(set.ControlAddress(set.IP), beat, logging.For(logging.Transport))
	if err != nil {
		return err
	}
	defer post.Close()
	post.IdleTimeout = 2 * beat
	_, port, err := net.SplitHostPort(set.Bind.Control)
	if err != nil {
		return err
	}
	p := &picker{self: post.Self(), zone: set.Zone, seeds: set.SeedControlNodes(),
		patience: min(settings.Seconds(set.Bounds.ContactS*relayPatience), relayMost/4),
		limit:    min(settings.Seconds(set.Bounds.ContactS*relayLimit), relayMost),
		rest:     settings.Seconds(set.Bounds.ContactS),
		nodes:    map[string]membership.Node{}, owners: map[string]string{}, failed: map[string]time.Time{},
		ask: func(ctx context.Context, to, key string) (a relayAnswer, err error) {
			err = post.Call(ctx, to, relayKind, relayQuestion{key}, &a)
			return a, err
		}}
	post.HandleSlow(relayKind, func(string, []byte) (any, error) {
		return relayAnswer{Relay: true, Nodes: p.known()}, nil
	})
	membership.Introduce(post, p.introduce)
	f := founding{bootstrap: set.Bootstrap}
	transport.On(post, replicationKind, func(from string, msgs []replication.Message) {
		for _, m := range msgs {
			if answer := f.answer(from, m); answer != nil {
				post.Send(from, replicationKind, []replication.Message{{Founded: answer}})
			}
		}
	})
	post.Start()

	r := &relay{pick: p.pick, known: p.known, port: port, drain: settings.Seconds(set.Bounds.ContactS), later: beat, log: logging.For(logging.Relay)}
	serve := func(address string, h http.Handler) *http.Server {
		return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: settings.Seconds(set.Bounds.ContactS),
			IdleTimeout: settings.Seconds(4 * set.Bounds.ContactS), ErrorLog: slog.NewLogLogger(r.log.Handler(), slog.LevelWarn)}
	}
	control := serve(set.Bind.Control, r)
	failed := make(chan error, 2)
	go func() { failed <- control.ListenAndServe() }()
	if set.Bind.Directory != "" {
		r.log.Warn("the registry is not served without a dataDir")
		registry := serve(set.Bind.Directory, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			apierror.Write(w, apierror.Later(apierror.NoControlNode, r.later, "no registry on a relay"))
		}))
		go func() { failed <- registry.ListenAndServe() }()
		defer registry.Close()
	}
	r.log.Info("relay is up and redirects to control nodes", "node", set.Node, "zone", set.Zone)
	for {
		select {
		case fresh := <-reload:
			p.setSeeds(fresh.SeedControlNodes())
		case err := <-failed:
			return err
		case <-ctx.Done():
			r.log.Info("leaving")
			grace, cancel := context.WithTimeout(context.Background(), settings.Seconds(set.Bounds.GraceS/3))
			defer cancel()
			_ = control.Shutdown(grace)
			return nil
		}
	}
}

// founding is a relay's part in the founding of a system whose seeds name it: it says that
// it can be no member. If all seeds are relays, the lowest one's word on who is to found
// counts; that is the first control node that asks, and nobody once the process has been
// started again, as it no longer knows whom it named.
type founding struct {
	bootstrap bool
	mu        sync.Mutex
	appointed string
}

// answer is what to say to a member; nil: nothing.
func (f *founding) answer(from string, m replication.Message) *replication.Founded {
	if m.Found == nil || len(m.Found.Records) > 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bootstrap && f.appointed == "" {
		f.appointed = from
	}
	return &replication.Founded{Relay: true, Appointed: f.appointed}
}

// ServeHTTP answers a call: 307 to a control node, or 503 where none is in reach.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/metrics" && req.Method == http.MethodGet {
		_, _ = w.Write(r.metrics())
		return
	}
	r.calls.Add(1)
	to := r.pick(keyOf(req.Method, req.URL.Path))
	if away := to == ""; r.away.Swap(away) != away {
		if away {
			r.log.Warn("no control node in reach")
		} else {
			r.log.Info("redirecting", "to", to)
		}
	}
	// A connection that is closed over unread bytes may lose the answer.
	if req.Header.Get("Expect") == "" {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(r.drain))
		_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, maxCall))
	}
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		r.refused.Add(1)
		apierror.Write(w, apierror.Later(apierror.NoControlNode, r.later, "this one has no disk"))
		return
	}
	r.redirected.Add(1)
	w.Header().Set("Location", "http://"+net.JoinHostPort(host, r.port)+req.URL.RequestURI())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// keyOf names the key that a call of control concerns most.
func keyOf(method, path string) string {
	if isCoordination(path) {
		return coordinationKey(path)
	}
	for prefix, key := range map[string]string{"/v1/evacuation/": config.EvacuationPrefix, "/v1/rollouts/": rollout.Prefix, "/v1/admin/rollouts/": rollout.Prefix} {
		if rest, ok := strings.CutPrefix(path, prefix); ok && rest != "" {
			return key + rest
		}
	}
	if method == http.MethodDelete && strings.HasPrefix(path, "/v1/admin/members/") {
		return replication.RosterKey
	}
	return config.Key
}

// metrics are those of the relay itself.
func (r *relay) metrics() []byte {
	var b bytes.Buffer
	metrics.Write(&b, "relay", map[string]uint64{"calls": r.calls.Load(), "redirected": r.redirected.Load(), "refused": r.refused.Load()})
	metrics.Gauge(&b, "relay", "controlNodes", uint64(len(r.known())))
	return b.Bytes()
}
