package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cicadadale/cicadadale/platform"
)

// maxLogLine bounds the length of a log line, so that a file of another kind is rejected instead of read into memory.
const maxLogLine = 1 << 20

func logsCommand() *cli.Command {
	return &cli.Command{
		Name:      "logs",
		Usage:     "show the log lines of all daemons about one request",
		ArgsUsage: "FILE...",
		Description: "Reads the JSON logs of several daemons, one file each, and prints the lines that name a job or a worker, " +
			"ordered by time, with the name of the file. Text before the first brace of a line is skipped. Clocks of VMs " +
			"differ, so lines of different daemons may be out of order by the difference.\n\n" +
			"Example: cicadadale logs --id 5c0e7a21d94b36f8 edge-*.log",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true, Usage: "`ID` of a job, or the name of a task, worker or member"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("logs: no file is given")
			}
			return showLogs(c.Root().Writer, searchText(c.String("id")), c.Args().Slice())
		},
	}
}

// searchText returns the text that the lines about an id contain. The log names a task JOB.STEP.INDEX#RUN, the platform
// JOB.OCCURRENCE.STEP.INDEX.
func searchText(id string) string {
	task, err := platform.ParseTaskName(id)
	if err != nil {
		return id
	}
	name, _, _ := strings.Cut(task.String(), "#")
	return name + "#"
}

// logLine is a line of a daemon's log, formatted for output.
type logLine struct {
	at     time.Time
	source string
	text   string
}

func showLogs(w io.Writer, id string, files []string) error {
	var lines []logLine
	for _, f := range files {
		found, err := readLog(f, id)
		if err != nil {
			return fmt.Errorf("logs: %s: %w", f, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s\n", l.at.Format("15:04:05.000"), l.source, l.text); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the lines of a file that contain an id.
func readLog(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var found []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		start := strings.IndexByte(s.Text(), '{')
		if start < 0 || !strings.Contains(s.Text(), id) {
			continue
		}
		l, ok := parseLogLine(s.Text()[start:])
		if !ok {
			continue
		}
		l.source = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		if prefix := strings.Fields(s.Text()[:start]); len(prefix) > 0 {
			l.source = prefix[len(prefix)-1]
		}
		found = append(found, l)
	}
	return found, s.Err()
}

// parseLogLine parses a JSON line and moves its level and message to the front.
func parseLogLine(text string) (logLine, bool) {
	var fields struct {
		Time  time.Time `json:"time"`
		Level string    `json:"level"`
		Msg   string    `json:"msg"`
	}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return logLine{}, false
	}
	rest := text
	if i := strings.Index(text, `"msg":`); i >= 0 {
		if j := strings.Index(text[i:], `",`); j >= 0 {
			rest = strings.TrimSuffix(text[i+j+len(`",`):], "}")
		}
	}
	return logLine{at: fields.Time, text: fields.Level + " " + fields.Msg + ": " + rest}, true
}
