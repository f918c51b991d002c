package controlplane

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/metrics"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// relay is a process in the role of a control node whose settings name no dataDir: it stores
// nothing, is not a member of the cluster, and redirects the operators' calls to a working control node.
// It does nothing between calls.
type relay struct {
	pick        func(caller context.Context, partition string) string
	known       func() []membership.Node
	port        string        // of the operators' API, on all machines
	bodyTimeout time.Duration // how long the rest of a call's body is read
	retryAfter  time.Duration // sent in Retry-After to refused callers
	log         *slog.Logger

	calls, redirected, refused atomic.Uint64
	unreachable                atomic.Bool // the last call found no control node
}

// runRelay runs a relay until ctx ends.
func runRelay(ctx context.Context, cfg *settings.Settings, reload <-chan *settings.Settings) error {
	heartbeat := cfg.HeartbeatInterval()
	endpoint, err := transport.New(cfg.ControlAddress(cfg.IP), heartbeat, logging.Logger(logging.Transport))
	if err != nil {
		return err
	}
	defer endpoint.Close()
	endpoint.IdleTimeout = 2 * heartbeat
	_, port, err := net.SplitHostPort(cfg.Bind.Control)
	if err != nil {
		return err
	}
	picker := newPicker(cfg, endpoint)
	endpoint.HandleAsync(relayKind, func(string, []byte) (any, error) {
		return relayAnswer{Relay: true, Nodes: picker.known()}, nil
	})
	membership.Introduce(endpoint, picker.introduce)
	bootstrap := bootstrapResponder{bootstrap: cfg.Bootstrap}
	transport.HandleMessage(endpoint, replicationKind, func(from string, msgs []replication.Message) {
		for _, m := range msgs {
			if answer := bootstrap.answer(from, m); answer != nil {
				endpoint.Send(from, replicationKind, []replication.Message{{Body: answer}})
			}
		}
	})
	endpoint.Start()

	handler := &relay{pick: picker.pick, known: picker.known, port: port, bodyTimeout: settings.Seconds(cfg.Bounds.ContactS), retryAfter: heartbeat, log: logging.Logger(logging.Relay)}
	serve := func(address string, h http.Handler) *http.Server {
		return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: settings.Seconds(cfg.Bounds.ContactS),
			IdleTimeout: settings.Seconds(4 * cfg.Bounds.ContactS), ErrorLog: slog.NewLogLogger(handler.log.Handler(), slog.LevelWarn)}
	}
	control := serve(cfg.Bind.Control, handler)
	failed := make(chan error, 2)
	go func() { failed <- control.ListenAndServe() }()
	if cfg.Bind.Directory != "" {
		handler.log.Warn("the registry is not served without a dataDir")
		registry := serve(cfg.Bind.Directory, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			apierror.Write(w, apierror.NewRetryAfter(apierror.ControlNodesUnreachable, handler.retryAfter, "no registry on a relay"))
		}))
		go func() { failed <- registry.ListenAndServe() }()
		defer registry.Close()
	}
	handler.log.Info("relay is up and redirects to control nodes", "node", cfg.Node, "zone", cfg.Zone)
	for {
		select {
		case reloaded := <-reload:
			picker.setSeeds(reloaded.SeedControlAddresses())
		case err := <-failed:
			return err
		case <-ctx.Done():
			handler.log.Info("leaving")
			grace, cancel := context.WithTimeout(context.Background(), settings.Seconds(cfg.Bounds.GraceS/3))
			defer cancel()
			_ = control.Shutdown(grace)
			return nil
		}
	}
}

// ServeHTTP answers a call with 307 to a control node, or with 503 where none can be reached.
func (r *relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/metrics" && req.Method == http.MethodGet {
		_, _ = w.Write(r.metrics())
		return
	}
	r.calls.Add(1)
	to := r.pick(req.Context(), partitionOf(req.Method, req.URL.Path))
	if req.Context().Err() != nil {
		apierror.Write(w, apierror.New(apierror.ClientLeftBeforeSend, "%s", req.URL.Path))
		return
	}
	if unreachable := to == ""; r.unreachable.Swap(unreachable) != unreachable {
		if unreachable {
			r.log.Warn("no control node in reach")
		} else {
			r.log.Info("redirecting", "to", to)
		}
	}
	// The body is read first: closing a connection with unread bytes may lose the answer.
	if req.Header.Get("Expect") == "" {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(r.bodyTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, maxCallBodyBytes))
	}
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		r.refused.Add(1)
		apierror.Write(w, apierror.NewRetryAfter(apierror.ControlNodesUnreachable, r.retryAfter, "this one has no disk"))
		return
	}
	r.redirected.Add(1)
	w.Header().Set("Location", "http://"+net.JoinHostPort(host, r.port)+req.URL.RequestURI())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// partitionOf returns the partition of the control state that an operator's call concerns most.
func partitionOf(method, path string) string {
	if isCoordination(path) {
		return coordinationPartition(path)
	}
	for prefix, partitionPrefix := range map[string]string{"/v1/evacuation/": config.EvacuationPrefix, "/v1/rollouts/": rollout.Prefix, "/v1/admin/rollouts/": rollout.Prefix} {
		if rest, ok := strings.CutPrefix(path, prefix); ok && rest != "" {
			return partitionPrefix + rest
		}
	}
	if method == http.MethodDelete && strings.HasPrefix(path, "/v1/admin/members/") {
		return replication.VoterSetPartition
	}
	return config.Partition
}

// metrics returns the metrics of the relay itself.
func (r *relay) metrics() []byte {
	var b bytes.Buffer
	metrics.WriteCounters(&b, "relay", map[string]uint64{"calls": r.calls.Load(), "redirected": r.redirected.Load(), "refused": r.refused.Load()})
	metrics.WriteGauge(&b, "relay", "controlNodes", uint64(len(r.known())))
	return b.Bytes()
}
