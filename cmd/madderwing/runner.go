package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	coordination "madderwing/client"
)

// Environment variables of a command that runs under a lease.
const (
	tokenVariable = "MADDERWING_TOKEN" // the fencing token
	nameVariable  = "MADDERWING_LOCK"  // the name of the lock or election
)

// exitSignalBase plus the signal number is the exit code for a command that was killed by a
// signal, as in shells.
const exitSignalBase = 128

// heldLease is a lock that is held, or the leadership of an election. Its context is cancelled
// when the lease is lost.
type heldLease struct {
	name    string
	ctx     context.Context
	token   uint64
	release func(context.Context) error
}

// runner runs a command under a lease. After SIGTERM it waits killAfter before SIGKILL.
type runner struct {
	killAfter time.Duration
}

func addRunnerFlags(command *cobra.Command) *runner {
	runner := &runner{}
	command.Flags().DurationVar(&runner.killAfter, "kill-after", 2*time.Second, "time between SIGTERM and SIGKILL when the lock is lost")
	return runner
}

// runWhileHeld sets up a command with the arguments "NAME -- COMMAND [ARG...]". It acquires the
// lease of NAME and runs COMMAND for as long as the lease is held.
func runWhileHeld(command *cobra.Command, flags *coordinationFlags, acquire func(ctx context.Context, client *coordination.Client, name string) (heldLease, error)) {
	wait := addWaitFlag(command)
	runner := addRunnerFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		return runner.run(cmd, flags, args[1:], *wait, func(ctx context.Context) (heldLease, error) {
			return acquire(ctx, client, args[0])
		})
	}
}

// run acquires the lease, runs the command, releases the lease and returns the command's result.
func (r *runner) run(cmd *cobra.Command, flags *coordinationFlags, command []string, wait time.Duration, acquire func(context.Context) (heldLease, error)) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	held, err := acquireUntilSignal(cmd, wait, acquire)
	if err != nil {
		return withExitCode(err)
	}
	process := exec.Command(command[0], command[1:]...)
	process.Stdin, process.Stdout, process.Stderr = cmd.InOrStdin(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	process.Env = append(os.Environ(), tokenVariable+"="+strconv.FormatUint(held.token, 10), nameVariable+"="+held.name)
	result := r.supervise(process, held.ctx, signals)
	ctx, cancel := context.WithTimeout(commandContext(cmd), flags.timeout)
	defer cancel()
	if err := held.release(ctx); err != nil {
		fmt.Fprintln(cmd.ErrOrStderr(), "madderwing: not released, others wait for the hold time:", err)
	}
	if flags.json {
		if err := flags.print(cmd, newRunOutput(held, result), ""); err != nil {
			return err
		}
	}
	return result
}

// acquireUntilSignal acquires a lease. It gives up when --wait is over or on SIGINT or SIGTERM.
func acquireUntilSignal(cmd *cobra.Command, wait time.Duration, acquire func(context.Context) (heldLease, error)) (heldLease, error) {
	ctx, stop := untilSignal(cmd)
	defer stop()
	ctx, cancel := waitContext(ctx, wait)
	defer cancel()
	return acquire(ctx)
}

// runOutput is the JSON output after the command has ended.
type runOutput struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
	Exit  int    `json:"exit"`
	Error string `json:"error,omitempty"`
}

func newRunOutput(held heldLease, result error) runOutput {
	out := runOutput{Name: held.name, Token: held.token}
	if result != nil {
		out.Exit, out.Error = exitCode(result), result.Error()
	}
	return out
}

// supervise runs a command to its end. It forwards signals, and stops the command when the lease
// is lost. The command has its own process group, so that signals reach its child processes too.
func (r *runner) supervise(process *exec.Cmd, lease context.Context, signals <-chan os.Signal) error {
	// If this process is killed, the command must not keep running without a lease. Pdeathsig
	// kills the command alone, not its child processes.
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started, ended := make(chan error, 1), make(chan error, 1)
	go func() {
		runtime.LockOSThread() // Pdeathsig is tied to the thread that starts the command, not to the process
		defer runtime.UnlockOSThread()
		err := process.Start()
		started <- err
		if err == nil {
			ended <- process.Wait()
		}
	}()
	if err := <-started; err != nil {
		return exitError{exitFailed, err}
	}
	processGroup := -process.Process.Pid
	var killTime <-chan time.Time
	leaseDone := lease.Done()
	for {
		select {
		case err := <-ended:
			if lease.Err() != nil {
				_ = syscall.Kill(processGroup, syscall.SIGKILL) // child processes that outlived the command
				return leaseLostError(context.Cause(lease))
			}
			return commandError(err)
		case received := <-signals:
			_ = syscall.Kill(processGroup, received.(syscall.Signal))
		case <-leaseDone:
			leaseDone = nil
			_ = syscall.Kill(processGroup, syscall.SIGTERM)
			killTime = time.After(r.killAfter)
		case <-killTime:
			_ = syscall.Kill(processGroup, syscall.SIGKILL)
		}
	}
}

// commandError converts the error of a command that has ended to one with its exit code.
func commandError(err error) error {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return err
	}
	code := exit.ExitCode()
	if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		code = exitSignalBase + int(status.Signal())
	}
	return exitError{code, fmt.Errorf("the command ended with %w", exit)}
}
