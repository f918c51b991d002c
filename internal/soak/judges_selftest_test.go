package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// validHistory returns a history of four machines without faults in which no judge finds a violation: each request got
// the response of the upstream that ran it.
func validHistory(began time.Time) *history {
	h := newHistory(nil)
	for i, zone := range zones {
		m := &machine{index: i, zone: zone, core: true, platformProxy: &platformProxy{}}
		m.control, m.gateway = &process{machine: m, role: roleControl}, &process{machine: m, role: roleGateway}
		h.machines = append(h.machines, m)
	}
	for i := range 400 {
		h.addExchange(i%4, began.Add(time.Duration(i)*100*time.Millisecond), [...]string{"/lookup/", "/confirm/", changedPrefix}[i%3])
	}
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	h.versions = []*routeVersion{{1, "records", at(0), at(0.1)}}
	for _, attempt := range []string{"r-2", "r-5"} {
		if h.requests[attempt].path != changedPrefix+attempt {
			panic("r-2 and r-5 must be requests on the changed route")
		}
	}
	h.reads = []configRead{{at(5), "a", 1}}
	h.lockHoldings = []*lockHolding{{"l", "a", at(1), at(1.1), at(3), 7}, {"l", "b", at(3), at(3.1), at(5), 8}}
	h.issuedNumbers = []issuedNumber{{"n", at(1), at(1.1), 5}, {"n", at(2), at(2.1), 6}}
	h.orders = []*evacuationOrder{{operator: 1, zone: "nowhere", evacuate: true, sent: at(1), acked: at(1.5)}}
	h.drainingPeriods = []*drainingPeriod{{upstreamID: "gone", began: at(1)}}
	return h
}

// addExchange adds a request that an upstream ran and answered.
func (h *history) addExchange(machine int, sent time.Time, prefix string) *request {
	attempt := fmt.Sprintf("r-%d", len(h.requests))
	r := &request{attempt: attempt, machine: machine, method: "GET", path: prefix + attempt, sent: sent, ended: sent.Add(10 * time.Millisecond), status: 200}
	service := "booking"
	switch prefix {
	case "/confirm/":
		r.method = "POST"
	case changedPrefix:
		service = "records"
	}
	r.seal, r.responseAttempt, r.body = "seal."+attempt, attempt, fmt.Sprintf("i-1 ran %s %s\n", r.method, r.path)
	h.requests[attempt] = r
	h.arrivals = append(h.arrivals, arrival{at: sent.Add(time.Millisecond), service: service, zone: zones[machine], upstreamID: "i-1", machine: machine,
		attempt: attempt, method: r.method, path: r.path})
	return r
}

// Every judge finds the violation that is put into a valid history, and none finds one in the history without it.
// Request r-1 is not idempotent, and r-2 is on the changed route.
func TestEveryJudgeCanFail(t *testing.T) {
	began := time.Now().Add(-time.Hour)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	for _, j := range judges {
		if found := j.find(validHistory(began)); len(found) > 0 {
			t.Errorf("%s finds violations in a valid history: %s", j.rule, found)
		}
	}
	lastArrival := func(h *history) *arrival { return &h.arrivals[len(h.arrivals)-1] }
	for name, c := range map[string]struct {
		rule  string
		fault func(h *history)
	}{
		"an evacuated zone gets requests":   {"EVAC", func(h *history) { h.orders[0].zone = zones[0] }},
		"a draining upstream gets requests": {"DRAIN", func(h *history) { h.drainingPeriods[0].upstreamID = "i-1" }},
		"the old service runs a request":    {"CONFIG", func(h *history) { h.arrivals[len(h.arrivals)-2].service = "booking" }},
		"an older version is read":          {"CONFIG, read", func(h *history) { h.reads[0].generation = 0 }},
		"404 on a route that exists": {"DENIED", func(h *history) {
			for i := range 30 {
				r := h.addExchange(i%4, at(20), "/lookup/")
				r.status, r.seal, r.responseAttempt, r.body = 404, "", "", ""
			}
		}},
		"a request runs twice": {"TWICE", func(h *history) { h.arrivals = append(h.arrivals, h.arrivals[1]) }},
		"503 for a request that ran": {"REFUSED", func(h *history) {
			r := h.requests["r-1"]
			r.status, r.seal, r.responseAttempt, r.body = 503, "", "", ""
		}},
		"a request that no client sent":                     {"UNASKED", func(h *history) { lastArrival(h).attempt = "other" }},
		"a changed path":                                    {"UNASKED", func(h *history) { lastArrival(h).path += "x" }},
		"the response to another request":                   {"MIXED", func(h *history) { h.requests["r-1"].responseAttempt = "r-2" }},
		"the body of another response":                      {"MIXED", func(h *history) { h.requests["r-1"].body = h.requests["r-2"].body }},
		"a truncated body":                                  {"MIXED", func(h *history) { h.requests["r-1"].body = h.requests["r-1"].body[1:8] }},
		"no seal":                                           {"MIXED", func(h *history) { h.requests["r-1"].seal = "" }},
		"success where the upstream failed":                 {"MIXED", func(h *history) { h.arrivals[1].failed = true }},
		"a failure with another status than the upstream's": {"MIXED", func(h *history) { h.requests["r-1"].status = 502 }},
		"a request is cut after a SIGTERM": {"LOST", func(h *history) {
			r := h.addExchange(2, at(20), "/confirm/")
			r.status, r.ended = 0, at(20.5)
			h.machines[2].gateway.sigterms = []time.Time{at(19)}
		}},
		"a request is cut after a SIGHUP": {"LOST", func(h *history) {
			r := h.addExchange(2, at(20), "/lookup/")
			r.status, r.ended = 0, at(20.5)
			h.machines[2].gateway.sighups = []time.Time{at(20.2)}
		}},
		"nothing is served after the final kill": {"RECOVER", func(h *history) {
			h.finalKill = finalKill{at(41), at(42)}
			h.addExchange(0, at(60), "/lookup/").status = 503
		}},
		"two holders at the same time":             {"ONE", func(h *history) { h.lockHoldings[1].heldFrom = at(2.9) }},
		"a lower fencing token for a later holder": {"ONE", func(h *history) { h.lockHoldings[1].fencingToken = 6 }},
		"the same fencing token for two holders":   {"ONE", func(h *history) { h.lockHoldings[1].fencingToken = 7 }},
		"more upstreams than maxTries": {"BUDGET, tries", func(h *history) {
			for i := range 4 {
				for _, id := range []string{"i-2", "i-3"} {
					again := h.arrivals[3*i]
					again.upstreamID = id
					h.arrivals = append(h.arrivals, again)
				}
			}
		}},
		"no response at the deadline": {"CONFIG, deadline", func(h *history) {
			for range 8 {
				r := h.addExchange(0, at(20), "/lookup/")
				r.status, r.ended = 504, at(21.6)
			}
		}},
		"a route added later is not served": {"CONFIG, later routes", func(h *history) {
			for _, r := range h.requests {
				if r.routePrefix() == changedRoute {
					r.status = 404
				}
			}
		}},
		"a route is starved": {"Starved", func(h *history) {
			for _, r := range h.requests {
				if r.routePrefix() == "confirm" {
					r.status = 503
				}
			}
		}},
		"a request is cut during a configuration change": {"LOST, configuration", func(h *history) { h.requests["r-1"].status = 0 }},
		"the same number twice":                          {"ORDER", func(h *history) { h.issuedNumbers[1].value = 5 }},
		"a number below an earlier one":                  {"ORDER", func(h *history) { h.issuedNumbers[1].value = 4 }},
	} {
		h := validHistory(began)
		c.fault(h)
		i := slices.IndexFunc(judges, func(j judge) bool { return j.rule == c.rule })
		if found := judges[i].find(h); len(found) == 0 {
			t.Errorf("%s: judge %s finds no violation", name, c.rule)
		}
	}
}

// The judges report no violation where the rules exempt machines with faults, or times around faults.
func TestJudgesAllowWhatTheRulesAllow(t *testing.T) {
	began := time.Now().Add(-time.Hour)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	addFault := func(p *process, from, to float64) {
		p.faults.periods = append(p.faults.periods, faultPeriod{began: at(from), ended: at(to)})
	}
	for name, c := range map[string]struct {
		find  func(h *history) []string
		allow func(h *history)
	}{
		"DRAIN on machines out of contact": {findDrainViolations, func(h *history) {
			h.drainingPeriods[0].upstreamID = "i-1"
			for _, m := range h.machines {
				addFault(m.gateway, 0, 60)
			}
		}},
		"DRAIN while the core has faults": {findDrainViolations, func(h *history) {
			h.drainingPeriods[0].upstreamID = "i-1"
			addFault(h.machines[0].control, 0, 60)
		}},
		"DRAIN once the upstream is ready again": {findDrainViolations, func(h *history) { h.drainingPeriods[0].upstreamID, h.drainingPeriods[0].ended = "i-1", at(2) }},
		"EVAC after the withdrawal was sent": {findEvacuationViolations, func(h *history) {
			h.orders[0].zone = zones[0]
			h.orders = append(h.orders, &evacuationOrder{operator: 1, zone: zones[0], sent: at(2)})
		}},
		"CONFIG within configApplyS": {findOutdatedRouting, func(h *history) { h.versions = append(h.versions, &routeVersion{2, "booking", at(38), at(39)}) }},
		"CONFIG where a later version was not acknowledged": {findOutdatedRouting, func(h *history) {
			h.versions = append(h.versions, &routeVersion{2, "booking", at(10), time.Time{}})
			h.arrivals[len(h.arrivals)-2].service = "booking"
		}},
		"LOST where the upstream failed": {findLostRequests, func(h *history) {
			r := h.addExchange(2, at(20), "/confirm/")
			r.status, r.ended = 0, at(20.5)
			h.arrivals[len(h.arrivals)-1].failed = true
			h.machines[2].gateway.sigterms = []time.Time{at(19)}
		}},
		"LOST during an unplanned fault": {findLostRequests, func(h *history) {
			r := h.addExchange(2, at(20), "/confirm/")
			r.status, r.ended = 0, at(20.5)
			h.machines[2].gateway.sigterms = []time.Time{at(19)}
			addFault(h.machines[0].control, 18, 19)
		}},
	} {
		h := validHistory(began)
		c.allow(h)
		if found := c.find(h); len(found) > 0 {
			t.Errorf("%s: %s", name, found[0])
		}
	}
}
