package controlplane

import (
	"io"
	"net/http"
	"strings"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// maxCallBodyBytes is the maximum size of the body of an operator's call.
const maxCallBodyBytes = 16 << 20

// controlHandler returns the handler of the operators' API and of applications' coordination calls.
func (n *Node) controlHandler(zones []string) http.Handler {
	knownZones := map[string]bool{}
	for _, z := range zones {
		knownZones[z] = true
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isCoordination(r.URL.Path) {
			n.coordination.ServeHTTP(w, r)
			return
		}
		n.administration.calls.Add(1)
		body, err := n.serve(r, knownZones)
		if err != nil {
			n.administration.refused.Add(1)
			if apierror.KindOf(err) == apierror.NoQuorum {
				n.administration.withoutQuorum.Add(1)
			}
			apierror.Write(w, err)
			return
		}
		if r.URL.Path != "/metrics" {
			w.Header().Set("Content-Type", "application/json")
		}
		if isView(r) {
			n.contact.setAgeHeader(n.now(), w.Header())
		}
		_, _ = w.Write(body)
	})
}

// isView reports whether a call is answered from this control node's copy of the state, however old
// that is. All other calls need a majority's confirmation.
func isView(r *http.Request) bool {
	page, admin := strings.CutPrefix(r.URL.Path, "/v1/admin/")
	return r.URL.Path == "/metrics" || admin && r.Method == http.MethodGet && !strings.HasPrefix(page, "rollouts/")
}

// readCall reads the body of an operator's call.
func readCall(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxCallBodyBytes))
	if err != nil {
		if large := apierror.BodyTooLargeError(err); large != nil {
			return nil, large
		}
		return nil, apierror.New(apierror.BadRequest, "body not read: %v", err)
	}
	return body, nil
}

// serve carries out an operator's call and returns the body of the answer.
func (n *Node) serve(r *http.Request, zones map[string]bool) ([]byte, error) {
	emptyObject := []byte("{}\n")
	switch path := r.URL.Path; {
	case path == "/v1/config":
		switch r.Method {
		case http.MethodGet:
			return n.orders.submit(r.Context(), order{Partition: config.Partition, Read: true})
		case http.MethodPatch:
			body, err := readCall(r)
			if err != nil {
				return nil, err
			}
			if _, err := config.ParseRequest(body); err != nil {
				n.log.control.Warn("configuration refused", "error", err)
				return nil, err
			}
			if _, err := n.orders.submit(r.Context(), order{Partition: config.Partition, Patch: body}); err != nil {
				n.log.control.Warn("configuration not taken", "error", err)
				return nil, err
			}
			return emptyObject, nil
		}
		return nil, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, path)
	case strings.HasPrefix(path, "/v1/evacuation/"):
		return emptyObject, n.evacuate(r, strings.TrimPrefix(path, "/v1/evacuation/"), zones)
	case path == "/v1/rollouts" || strings.HasPrefix(path, "/v1/rollouts/"):
		return n.rollouts.serve(r, strings.TrimPrefix(strings.TrimPrefix(path, "/v1/rollouts"), "/"))
	case path == "/metrics" && r.Method == http.MethodGet:
		return n.administration.metrics(), nil
	case path == coordinationAdminPath && r.Method == http.MethodGet:
		return n.coordination.currentState().page()
	case path == "/v1/admin/plan" && r.Method == http.MethodPost:
		body, err := readCall(r)
		if err != nil {
			return nil, err
		}
		if len(body) == 0 {
			return nil, apierror.New(apierror.BadRequest, "a plan needs a body")
		}
		return n.orders.submit(r.Context(), order{Partition: config.Partition, Plan: body})
	case strings.HasPrefix(path, "/v1/admin/rollouts/") && r.Method == http.MethodGet:
		return n.rollouts.stateAtController(r.Context(), strings.TrimPrefix(path, "/v1/admin/rollouts/"))
	case strings.HasPrefix(path, "/v1/admin/members/") && r.Method == http.MethodDelete:
		return emptyObject, n.administration.retire(r.Context(), strings.TrimPrefix(path, "/v1/admin/members/"))
	case path == "/v1/admin/resolve" && n.registry != nil && r.Method == http.MethodGet:
		q := r.URL.Query()
		return n.registry.directory.Answer(q.Get("name"), q.Get("region"), q.Get("zone"))
	case strings.HasPrefix(path, "/v1/admin/"):
		if r.Method != http.MethodGet {
			return nil, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, path)
		}
		return n.administration.page(strings.TrimPrefix(path, "/v1/admin/"), r.URL.Query())
	}
	return nil, apierror.New(apierror.UnknownPath, "%s", r.URL.Path)
}
