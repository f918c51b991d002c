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

// The environment of a command that runs while a lock is held.
const (
	tokenVariable = "MADDERWING_TOKEN" // the fencing token
	nameVariable  = "MADDERWING_LOCK"  // the name of the lock or election
)

// exitSignalled is added to the number of the signal that a command died of, as shells do.
const exitSignalled = 128

// holding is a lock or a leadership that is held.
type holding struct {
	name    string
	lease   context.Context
	token   uint64
	release func(context.Context) error
}

// runner runs a command for as long as something is held.
type runner struct {
	killAfter time.Duration
}

func addRunnerFlags(c *cobra.Command) *runner {
	r := &runner{}
	c.Flags().DurationVar(&r.killAfter, "kill-after", 2*time.Second, "time between SIGTERM and SIGKILL when the lock is lost")
	return r
}

// runWhileHeld makes a command of "NAME -- COMMAND [ARG...]" that runs COMMAND for as long as it
// holds what acquire takes under NAME.
func runWhileHeld(c *cobra.Command, flags *coordinationFlags, acquire func(ctx context.Context, client *coordination.Client, name string) (holding, error)) {
	wait := waitFlag(c)
	runner := addRunnerFlags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		return runner.run(cmd, flags, args[1:], *wait, func(ctx context.Context) (holding, error) {
			return acquire(ctx, client, args[0])
		})
	}
}

// run waits for what is to be held, runs the command, gives back what was held, and ends as
// the command did.
func (r *runner) run(cmd *cobra.Command, flags *coordinationFlags, command []string, wait time.Duration, acquire func(context.Context) (holding, error)) error {
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
	result := r.supervise(process, held.lease, signals)
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

// acquireUntilSignal waits until it is held, --wait is over or a signal comes.
func acquireUntilSignal(cmd *cobra.Command, wait time.Duration, acquire func(context.Context) (holding, error)) (holding, error) {
	ctx, stop := untilSignal(cmd)
	defer stop()
	ctx, cancel := waitContext(ctx, wait)
	defer cancel()
	return acquire(ctx)
}

// runOutput is printed after the command with --json.
type runOutput struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
	Exit  int    `json:"exit"`
	Error string `json:"error,omitempty"`
}

func newRunOutput(held holding, result error) runOutput {
	out := runOutput{Name: held.name, Token: held.token}
	if result != nil {
		out.Exit, out.Error = exitCode(result), result.Error()
	}
	return out
}

// supervise runs a command to its end. It passes signals on, and ends the command when the
// lease ends. The command has a process group of its own, so that what it has started ends
// with it.
func (r *runner) supervise(process *exec.Cmd, lease context.Context, signals <-chan os.Signal) error {
	// If this process is killed the command must not go on without a lease. That does not
	// reach what the command has started.
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started, ended := make(chan error, 1), make(chan error, 1)
	go func() {
		runtime.LockOSThread() // Pdeathsig goes by the thread that started the command
		defer runtime.UnlockOSThread()
		err := process.Start()
		started <- err
		if err == nil {
			ended <- process.Wait()
		}
	}()
	if err := <-started; err != nil {
		return coded{exitFailed, err}
	}
	group := -process.Process.Pid
	var kill <-chan time.Time
	lost := lease.Done()
	for {
		select {
		case err := <-ended:
			if lease.Err() != nil {
				_ = syscall.Kill(group, syscall.SIGKILL) // what the command left behind
				return errEnded(context.Cause(lease))
			}
			return commandError(err)
		case s := <-signals:
			_ = syscall.Kill(group, s.(syscall.Signal))
		case <-lost:
			lost = nil
			_ = syscall.Kill(group, syscall.SIGTERM)
			kill = time.After(r.killAfter)
		case <-kill:
			_ = syscall.Kill(group, syscall.SIGKILL)
		}
	}
}

// commandError gives the end of a command its exit code.
func commandError(err error) error {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return err
	}
	code := exit.ExitCode()
	if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		code = exitSignalled + int(status.Signal())
	}
	return coded{code, fmt.Errorf("the command ended with %w", exit)}
}
