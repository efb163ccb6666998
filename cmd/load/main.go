// Command load submits jobs of one task to a gate at a steady rate, for measurements.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/job"
)

type options struct {
	Gate    string `long:"gate" default:"127.0.0.1:7801" description:"callers' address of a gate"`
	Rate    int    `long:"rate" default:"10" description:"jobs a second"`
	Seconds int    `long:"seconds" default:"20" description:"how long jobs are submitted"`
	Run     int64  `long:"run" default:"10" description:"seconds that each task runs"`
	Zone    string `long:"zone" description:"availability zone that the jobs are pinned to"`
	Name    string `long:"name" default:"load" description:"prefix of the idempotency keys"`
}

const (
	senders     = 32
	callTimeout = 10 * time.Second
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	fmt.Println(o.submitAll())
}

// submitAll submits the jobs at the given rate and returns a summary line with the accepted and rejected counts.
func (o *options) submitAll() string {
	due := make(chan int, senders)
	var accepted, refused atomic.Int64
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for n := range due {
				if err := o.submit(n); err != nil {
					refused.Add(1)
					continue
				}
				accepted.Add(1)
			}
		})
	}
	began := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(o.Rate))
	defer tick.Stop()
	for n := range o.Rate * o.Seconds {
		<-tick.C
		due <- n
	}
	close(due)
	wg.Wait()
	return fmt.Sprintf("accepted %d, not accepted %d, in %.1f s", accepted.Load(), refused.Load(), time.Since(began).Seconds())
}

func (o *options) submit(n int) error {
	raw, err := json.Marshal(&job.Submission{
		Key: fmt.Sprintf("%s-%d", o.Name, n), Team: fmt.Sprint("team-", n%22), Class: "load", Kind: job.Batch, Tasks: 1,
		Repeatable: true, Zone: o.Zone, RunSeconds: o.Run, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 1000},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Gate+"/v1/jobs", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("gate answered with status %d", resp.StatusCode)
	}
	return nil
}
