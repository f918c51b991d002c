package coordination

// This file holds locks and counters.

import "time"

// acquire gives a lock that is free, or whose lease has ended, under a new fencing token.
// Its holder gets the token that it has, and more time.
func (p *Partition) acquire(now time.Duration, call Call) (Answer, []Record) {
	current := p.locks[call.Name]
	if current != nil && current.Owner == call.Owner {
		return p.extend(now, current, call)
	}
	if current != nil && now < current.leaseEnd {
		return Answer{Status: Held}, nil
	}
	record := lockRecord{Owner: call.Owner, Fence: p.fence + 1, Hold: call.Hold}
	change := encode(lockPrefix+call.Name, record)
	if p.exceedsLimits(change) {
		return Answer{Status: Full}, nil
	}
	p.fence++
	p.locks[call.Name] = &lock{record, now + call.Hold}
	p.headWritten = true
	return Answer{Status: OK, Fence: record.Fence}, []Record{change, p.encodeHead()}
}

// renew gives more time to a holder that shows its token. A lease that has ended goes on if
// nobody has taken the lock since.
func (p *Partition) renew(now time.Duration, call Call) (Answer, []Record) {
	current := p.locks[call.Name]
	if current == nil || current.Owner != call.Owner || current.Fence != call.Fence {
		return Answer{Status: Held}, nil
	}
	return p.extend(now, current, call)
}

// extend lets a lease run for at least the time that is asked for from now on. Only a
// longer hold than the recorded one is written: a later owner counts every lease as whole.
func (p *Partition) extend(now time.Duration, current *lock, call Call) (Answer, []Record) {
	current.leaseEnd = max(current.leaseEnd, now+call.Hold)
	answer := Answer{Status: OK, Fence: current.Fence}
	if call.Hold <= current.Hold {
		return answer, nil
	}
	current.Hold = call.Hold
	return answer, []Record{encode(lockPrefix+call.Name, current.lockRecord)}
}

// release gives a lock back. A call that does not come from its holder changes nothing.
func (p *Partition) release(call Call) (Answer, []Record) {
	current := p.locks[call.Name]
	if current == nil || current.Owner != call.Owner || current.Fence != call.Fence {
		return Answer{Status: OK}, nil
	}
	delete(p.locks, call.Name)
	return Answer{Status: OK}, []Record{erasure(lockPrefix + call.Name)}
}

// draw gives the next number of a counter.
func (p *Partition) draw(call Call) (Answer, []Record) {
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
	Name  string
	Owner string
	Fence uint64
	Hold  time.Duration
	Left  time.Duration // of the lease; not positive: it has ended
}

// Locks lists the locks that are held.
func (p *Partition) Locks(now time.Duration) (out []Lock) {
	for name, l := range p.locks {
		out = append(out, Lock{Name: name, Owner: l.Owner, Fence: l.Fence, Hold: l.Hold, Left: l.leaseEnd - now})
	}
	return out
}
