// Package client is the Go client of madderwing's coordination interface: locks with
// fencing tokens, elections, counters, keys with compare revisions, and watches.
//
// A Client knows the control addresses of several nodes and may be used by many goroutines:
//
//	c, err := client.New([]string{"10.0.0.1:8146", "10.0.0.2:8146"}, client.Options{})
//	lease, err := c.Acquire(ctx, "nightly-report", "", 10*time.Second)
//	if err != nil {
//		return err
//	}
//	defer lease.Release(context.WithoutCancel(ctx))
//	return report(lease.Context(), lease.Token())
//
// # Calls and repeats
//
// A call goes on to another node after a failure, a 5xx, a 429 or a second without an
// answer, with a growing pause, until its context ends. A call without a deadline may
// therefore take as long as the system is away.
//
// A 503 or a 429 promises that nothing was done, and so does a connection that could not be
// opened. After any other failure the call may have been done, and is sent again only where
// that does no harm:
//
//   - Acquiring, renewing and releasing a lock is repeated: the same owner gets the same
//     token.
//   - A draw from a counter is repeated: numbers may skip, but never return.
//   - A put is repeated with the same value for a few seconds; within that time the system
//     knows the value again and answers with the revision that it got the first time. After
//     that, the put fails with ErrUnclear.
//   - Reads and watches are always repeated.
//
// # Leases
//
// A Lease ends a hold time after the last successful acquire or renewal was sent, by this
// process's steady clock. Its context ends then at the latest. Work that is under way at
// that moment, and a process that was frozen, can still write after another holder has
// begun. What is written to must therefore refuse any token below the highest it has seen;
// see Lease.Token.
package client
