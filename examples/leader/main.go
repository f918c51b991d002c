// Command leader is an example of leader election: three worker processes, of which one leads
// at a time, and a small store to which the leader writes with its fencing token.
//
//	go run ./examples/leader -control 127.0.0.1:8146,127.0.0.2:8146,127.0.0.3:8146
//
// starts the store and three workers and logs what happens, until Ctrl-C. Try:
//
//	kill -9 PID                             # another worker leads once the hold time is over
//	kill -STOP PID; sleep 8; kill -CONT PID # the paused worker no longer leads
//
// A paused worker that continues may still send a write before it learns that it no longer
// leads. The store rejects that write, since it has seen a higher token.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"madderwing/client"
)

const (
	workers       = 3
	holdTime      = 3 * time.Second
	writeInterval = 500 * time.Millisecond
	writeTimeout  = time.Second
	resignTimeout = 2 * time.Second
)

func main() {
	log.SetFlags(log.Ltime)
	control := flag.String("control", "127.0.0.1:8146", "control addresses, separated by commas")
	election := flag.String("election", "example", "name of the election")
	worker := flag.String("worker", "", "run as a worker of this name (used by the command itself)")
	storeAddress := flag.String("store", "", "address of the store (used by the command itself)")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	if *worker == "" {
		err = runAll(ctx)
	} else {
		err = runWorker(ctx, *worker, *election, strings.Split(*control, ","), *storeAddress)
	}
	if err != nil && ctx.Err() == nil {
		log.Fatal(err)
	}
}

// runAll serves the store and runs each worker as a child process.
func runAll(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &store{}}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	var workersRunning sync.WaitGroup
	for index := range workers {
		name := fmt.Sprintf("worker-%d", index+1)
		args := append([]string{"-worker", name, "-store", listener.Addr().String()}, os.Args[1:]...)
		process := exec.CommandContext(ctx, program, args...)
		process.Cancel = func() error { return process.Process.Signal(syscall.SIGTERM) }
		process.Stdout, process.Stderr = os.Stdout, os.Stderr
		if err := process.Start(); err != nil {
			return err
		}
		log.Printf("%s is process %d", name, process.Process.Pid)
		workersRunning.Go(func() { log.Printf("%s ended: %v", name, process.Wait()) })
	}
	workersRunning.Wait()
	return nil
}

// runWorker campaigns in the election and writes to the store while it leads, until ctx ends.
func runWorker(ctx context.Context, name, election string, control []string, storeAddress string) error {
	coordinationClient, err := client.New(control, client.Options{Name: name})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		leadership, err := coordinationClient.Election(election, holdTime).Campaign(ctx, name)
		if err != nil {
			return err
		}
		log.Printf("%s leads with token %d", name, leadership.Token())
		lead(ctx, leadership, name, storeAddress)
		log.Printf("%s leads no more: %v", name, context.Cause(leadership.Context()))
		resign(leadership)
	}
	return nil
}

// lead writes to the store until the leadership or ctx ends.
func lead(ctx context.Context, leadership *client.Leadership, name, storeAddress string) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for number := 1; ; number++ {
		line := fmt.Sprintf("line %d of %s", number, name)
		if err := write(leadership, storeAddress, line); err != nil {
			log.Printf("%s: %v", name, err)
		}
		select {
		case <-ticker.C:
		case <-leadership.Context().Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// write sends one line with the fencing token. The request is cancelled when the leadership ends,
// but the store may have received it by then. That is why the store checks the token.
func write(leadership *client.Leadership, storeAddress, line string) error {
	ctx, cancel := context.WithTimeout(leadership.Context(), writeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+storeAddress+"/", strings.NewReader(line))
	if err != nil {
		return err
	}
	request.Header.Set(tokenHeader, fmt.Sprint(leadership.Token()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New("the store refused a write: " + response.Status)
	}
	return nil
}

// resign gives up the leadership, so that the next candidate need not wait for the hold time.
func resign(leadership *client.Leadership) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if err := leadership.Resign(ctx); err != nil {
		log.Printf("not resigned: %v", err)
	}
}
