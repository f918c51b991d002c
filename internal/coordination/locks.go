package coordination

// This file holds locks and counters.

import "time"

// acquire grants a lock that is free, or whose lease has ended, with a new fencing token. If
// the caller holds the lock already, it keeps its token and the lease is extended.
func (p *Partition) acquire(now time.Duration, call Call) (Answer, []Record) {
	current := p.locks[call.Name]
	if current != nil && current.Owner == call.Owner {
		return p.extend(now, current, call)
	}
	if current != nil && now < current.leaseEnd {
		return Answer{Status: Held}, nil
	}
	record := lockRecord{Owner: call.Owner, FencingToken: p.lastFencingToken + 1, Lease: call.Lease}
	change := encode(lockPrefix+call.Name, record)
	if p.exceedsLimits(change) {
		return Answer{Status: Full}, nil
	}
	p.lastFencingToken++
	p.locks[call.Name] = &lock{record, now + call.Lease}
	p.headWritten = true
	return Answer{Status: OK, FencingToken: record.FencingToken}, []Record{change, p.encodeHead()}
}

// renew extends the lease of a holder that presents its token. A lease that has ended can
// still be extended while nobody else has acquired the lock and it has not been swept.
func (p *Partition) renew(now time.Duration, call Call) (Answer, []Record) {
	current := p.locks[call.Name]
	if current == nil || current.Owner != call.Owner || current.FencingToken != call.FencingToken {
		return Answer{Status: Held}, nil
	}
	return p.extend(now, current, call)
}

// extend makes a lease end no earlier than the requested time from now. A record is written only
// if the requested lease is longer than the recorded one: a later owner of the partition restarts
// every lease at its recorded length.
func (p *Partition) extend(now time.Duration, current *lock, call Call) (Answer, []Record) {
	current.leaseEnd = max(current.leaseEnd, now+call.Lease)
	answer := Answer{Status: OK, FencingToken: current.FencingToken}
	if call.Lease <= current.Lease {
		return answer, nil
	}
	current.Lease = call.Lease
	return answer, []Record{encode(lockPrefix+call.Name, current.lockRecord)}
}

// release frees a lock. A call that is not from its holder changes nothing.
func (p *Partition) release(call Call) (Answer, []Record) {
	current := p.locks[call.Name]
	if current == nil || current.Owner != call.Owner || current.FencingToken != call.FencingToken {
		return Answer{Status: OK}, nil
	}
	delete(p.locks, call.Name)
	return Answer{Status: OK}, []Record{erasure(lockPrefix + call.Name)}
}

// increment increments a counter and returns its new value.
func (p *Partition) increment(call Call) (Answer, []Record) {
	next := p.counters[call.Name] + 1
	change := encode(counterPrefix+call.Name, counterRecord{Value: next})
	if p.exceedsLimits(change) {
		return Answer{Status: Full}, nil
	}
	p.counters[call.Name] = next
	return Answer{Status: OK, Number: next}, []Record{change}
}

// Lock is a lock as the administration API shows it.
type Lock struct {
	Name         string
	Owner        string
	FencingToken uint64
	Lease        time.Duration
	Remaining    time.Duration // until the lease ends; zero or negative: it has ended
}

// Locks lists the locks that are held, and those whose lease has ended but that are not swept yet.
func (p *Partition) Locks(now time.Duration) (out []Lock) {
	for name, l := range p.locks {
		out = append(out, Lock{Name: name, Owner: l.Owner, FencingToken: l.FencingToken, Lease: l.Lease, Remaining: l.leaseEnd - now})
	}
	return out
}
