package coordination

// This file holds locks and counters.

import "time"

// acquire gives a lock that is free, or whose lease has ended, under a new fencing token.
// Its holder gets the token that it has, and more time.
func (p *Partition) acquire(now time.Duration, c Call) (Answer, []Record) {
	held := p.locks[c.Name]
	if held != nil && held.Owner == c.Owner {
		return p.extend(now, held, c)
	}
	if held != nil && now < held.end {
		return Answer{Status: Held}, nil
	}
	record := lockRecord{Owner: c.Owner, Fence: p.fence + 1, Hold: c.Hold}
	stored := encode(lockPrefix+c.Name, record)
	if p.full(stored) {
		return Answer{Status: Full}, nil
	}
	p.fence++
	p.locks[c.Name] = &lock{record, now + c.Hold}
	p.hasHead = true
	return Answer{Status: OK, Fence: record.Fence}, []Record{stored, p.head()}
}

// renew gives more time to a holder that shows its token. A lease that has ended goes on if
// nobody has taken the lock since.
func (p *Partition) renew(now time.Duration, c Call) (Answer, []Record) {
	held := p.locks[c.Name]
	if held == nil || held.Owner != c.Owner || held.Fence != c.Fence {
		return Answer{Status: Held}, nil
	}
	return p.extend(now, held, c)
}

// extend lets a lease run for at least the time that is asked for from now on. Only a
// longer hold than the recorded one is written: a later owner counts every lease as whole.
func (p *Partition) extend(now time.Duration, held *lock, c Call) (Answer, []Record) {
	held.end = max(held.end, now+c.Hold)
	answer := Answer{Status: OK, Fence: held.Fence}
	if c.Hold <= held.Hold {
		return answer, nil
	}
	held.Hold = c.Hold
	return answer, []Record{encode(lockPrefix+c.Name, held.lockRecord)}
}

// release gives a lock back. A call that does not come from its holder changes nothing.
func (p *Partition) release(c Call) (Answer, []Record) {
	held := p.locks[c.Name]
	if held == nil || held.Owner != c.Owner || held.Fence != c.Fence {
		return Answer{Status: OK}, nil
	}
	delete(p.locks, c.Name)
	return Answer{Status: OK}, []Record{erase(lockPrefix + c.Name)}
}

// draw gives the next number of a counter.
func (p *Partition) draw(c Call) (Answer, []Record) {
	next := p.counters[c.Name] + 1
	stored := encode(counterPrefix+c.Name, counterRecord{Value: next})
	if p.full(stored) {
		return Answer{Status: Full}, nil
	}
	p.counters[c.Name] = next
	return Answer{Status: OK, Number: next}, []Record{stored}
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
		out = append(out, Lock{Name: name, Owner: l.Owner, Fence: l.Fence, Hold: l.Hold, Left: l.end - now})
	}
	return out
}
