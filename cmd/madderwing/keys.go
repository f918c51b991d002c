package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	coordination "madderwing/client"
)

func counterCommand() *cobra.Command {
	command := &cobra.Command{Use: "counter", Short: "Draw numbers that rise and never come twice"}
	next := &cobra.Command{Use: "next NAME", Short: "Draw the next number", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(next)
	next.RunE = func(cmd *cobra.Command, args []string) error {
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			number, err := client.Counter(args[0]).Next(ctx)
			if err != nil {
				return err
			}
			return flags.print(cmd, map[string]uint64{"value": number}, "%d", number)
		})
	}
	command.AddCommand(next)
	return command
}

// entryOutput is the JSON output for a key.
type entryOutput struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

func kvCommand() *cobra.Command {
	command := &cobra.Command{Use: "kv", Short: "Read and put small keys"}
	command.AddCommand(kvGetCommand(), kvPutCommand())
	return command
}

func kvGetCommand() *cobra.Command {
	command := &cobra.Command{Use: "get KEY", Short: "Print a key's value", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			entry, err := client.Get(ctx, args[0])
			if err != nil {
				return err
			}
			return flags.print(cmd, entryOutput(entry), "%s", entry.Value)
		})
	}
	return command
}

func kvPutCommand() *cobra.Command {
	command := &cobra.Command{Use: "put KEY VALUE", Short: "Put a key's value (- for standard input) and print its revision", Args: cobra.ExactArgs(2)}
	flags := addCoordinationFlags(command)
	revision := command.Flags().Uint64("revision", 0, "put only if the key is at this revision; 0: if it doesn't exist")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		value := args[1]
		if value == "-" {
			text, err := readFile(cmd, value)
			if err != nil {
				return err
			}
			value = string(text)
		}
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) (err error) {
			newRevision := uint64(0)
			if cmd.Flags().Changed("revision") {
				newRevision, err = client.PutIf(ctx, args[0], value, *revision)
			} else {
				newRevision, err = client.Put(ctx, args[0], value)
			}
			if err != nil {
				return err
			}
			return flags.print(cmd, entryOutput{args[0], value, newRevision}, "%d", newRevision)
		})
	}
	return command
}

func watchCommand() *cobra.Command {
	command := &cobra.Command{Use: "watch GROUP", Short: "Print the puts to a group of keys as they come: revision, key, value",
		Long: "A group is what its keys have before their first dot. Goes on until SIGINT or SIGTERM.", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(command)
	_ = command.Flags().MarkHidden("timeout") // a watch keeps trying while no node answers
	after := command.Flags().Uint64("after", 0, "begin after this revision; 0: with the next put")
	count := command.Flags().Int("count", 0, "end after so many puts; 0: never")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		ctx, stop := untilSignal(cmd)
		defer stop()
		printed := 0
		for event, err := range client.Watch(ctx, args[0], *after) {
			if err != nil {
				return errorUnlessSignaled(ctx, err)
			}
			if err := printEvent(cmd, flags, event); err != nil {
				return err
			}
			if printed++; printed == *count {
				break
			}
		}
		return nil
	}
	return command
}

// unknownKey is printed for an event without a key: the first put to a group that was empty when
// the watch began.
const unknownKey = "?"

func printEvent(cmd *cobra.Command, flags *coordinationFlags, event coordination.Event) error {
	if event.Name == "" {
		event.Name = unknownKey
	}
	if flags.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(event)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\t%s\n", event.Revision, event.Name, event.Value)
	return err
}

// errorUnlessSignaled returns nil if err is the end of a context that a signal has cancelled, and
// otherwise err with an exit code.
func errorUnlessSignaled(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return withExitCode(err)
}
