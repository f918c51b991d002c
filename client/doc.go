// Package client is the Go client for madderwing's coordination API: locks with fencing
// tokens, leader elections, counters, key-value pairs with compare-and-set, and watches.
//
// A Client has the control addresses of several nodes and is safe for concurrent use:
//
//	c, err := client.New([]string{"10.0.0.1:8146", "10.0.0.2:8146"}, client.Options{})
//	lease, err := c.Acquire(ctx, "nightly-report", "", 10*time.Second)
//	if err != nil {
//		return err
//	}
//	defer lease.Release(context.WithoutCancel(ctx))
//	return report(lease.Context(), lease.Token())
//
// # Retries
//
// After a failure, a 5xx, a 429 or a second without a response, a call is retried on another
// node, with exponential backoff, until its context ends. A call without a deadline may
// therefore take as long as the system is unavailable.
//
// A 503, a 429 or a connection that could not be opened means that the call was not executed.
// After any other failure it may have been executed, and is retried only where that is safe:
//
//   - Acquiring, renewing and releasing a lock is retried: the same owner gets the same
//     token.
//   - Taking a number from a counter is retried: there may be gaps, but no number is returned
//     twice.
//   - A put is retried with the same value for a few seconds; within that time the system
//     recognizes the value and returns the revision of the first execution. After that, the
//     put fails with ErrUnclear.
//   - Reads and watches are always retried.
//
// # Leases
//
// A Lease expires one hold time after the last successful acquire or renewal was sent, by the
// monotonic clock of this process. Its context ends then at the latest. Work in progress at
// that moment, or a process that was suspended, can still write after another holder has
// acquired the lock. The resource that is written to must therefore refuse any token below
// the highest it has seen; see Lease.Token.
package client
