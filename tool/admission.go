package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"endiveplank/transport/admissionview"
)

// admissionCommand shows what a router of a direct fleet knows of demand and capacity.
func admissionCommand(o *options) *cobra.Command {
	router := ""
	command := &cobra.Command{
		Use:   "admission --router IP:port",
		Short: "Show the capacity and demand of a direct fleet's services, and who is refused",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			view, err := o.fetchAdmission(command.Context(), router)
			if err != nil {
				return err
			}
			if !view.Enabled {
				return &Failure{
					Status: ExitRefused, What: "admission is off on router " + view.Router,
					Next: "set admission.enabled in the settings of all routers",
				}
			}
			return o.print(command.OutOrStdout(), view, func(w io.Writer) { writeAdmission(w, view) })
		},
	}
	command.Flags().StringVar(&router, "router", "", "metrics address of any router, IP:port")
	return command
}

// fetchAdmission reads a router's view.
func (o *options) fetchAdmission(ctx context.Context, router string) (admissionview.View, error) {
	var view admissionview.View
	if router == "" {
		return view, &Failure{
			Status: ExitUsage, What: "no router", Next: "set --router to a router's metrics address (listen.metrics)",
		}
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+admissionview.Path, nil)
	if err != nil {
		return view, &Failure{Status: ExitUsage, What: err.Error()}
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return view, unreachableRouter(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return view, unreachableRouter(err)
	}
	if err := json.Unmarshal(raw, &view); err != nil || response.StatusCode != http.StatusOK {
		return view, fmt.Errorf("the response (HTTP status %d) isn't a view of admission; is this a router's metrics address?",
			response.StatusCode)
	}
	return view, nil
}

// unreachableRouter returns the failure of a call that got no response.
func unreachableRouter(err error) error {
	return &Failure{Status: ExitUnreachable, What: "the router is unreachable: " + err.Error(), Next: "try another router"}
}

// writeAdmission writes the services one after the other.
func writeAdmission(w io.Writer, view admissionview.View) {
	printRow(w, fmt.Sprintf("as router %s knows it; rates in requests a second of all routers that report; %d refused requests expected back",
		view.Router, view.Reservations))
	printRow(w)
	printRow(w, "SERVICE", "STATE", "ROUTERS", "SLOTS", "IN FLIGHT", "LIMIT", "FREE", "IN TIME", "LATE")
	for _, s := range view.Services {
		printRow(w, s.Service, stateOf(s), s.Routers, unknownIfZero(s.Slots), s.InFlight,
			limitOf(s, s.Limit), limitOf(s, s.Free), rate(s.InTime), rate(s.Late))
	}
	for _, s := range view.Services {
		if s.Short {
			writeShortService(w, s)
		}
	}
}

// writeShortService writes who is admitted and refused at a service that is short of capacity.
func writeShortService(w io.Writer, s admissionview.Service) {
	printRow(w)
	printRow(w, s.Service)
	printRow(w, "RANK", "ARRIVED", "ADMITTED", "REFUSED")
	for _, r := range s.Ranks {
		printRow(w, r.Rank, rate(r.Arrived), rate(r.Admitted), rate(r.Refused))
	}
	printRow(w, "CUSTOMER", "ARRIVED", "ADMITTED", "REFUSED", "SHARE")
	for _, c := range s.Customers {
		printRow(w, c.Customer, rate(c.Arrived), rate(c.Admitted), rate(c.Refused), rate(c.Share))
	}
	if s.RestCustomers > 0 {
		printRow(w, fmt.Sprintf("%d others", s.RestCustomers), rate(s.RestArrived))
	}
	printRow(w, "reservations of this router by second from now: "+strings.Trim(fmt.Sprint(s.Due), "[]"))
	if s.Reported != nil && s.Reported.Known > 0 {
		printRow(w, fmt.Sprintf("reported by %d of %d upstreams: %d running, %d waiting, room for %.0f more",
			s.Reported.Known, s.Reported.Upstreams, s.Reported.Running, s.Reported.Waiting, s.Reported.Free))
	}
}

// stateOf returns a word for how short of capacity a service is.
func stateOf(s admissionview.Service) string {
	switch {
	case s.Limit > 0:
		return "limited"
	case s.Short:
		return "short"
	}
	return "ok"
}

// limitOf returns a part of the rate limit, a dash if there is none.
func limitOf(s admissionview.Service, value float64) string {
	if s.Limit == 0 {
		return "-"
	}
	return rate(value)
}

// unknownIfZero returns a number, a question mark for 0.
func unknownIfZero(n int) string {
	if n == 0 {
		return "?"
	}
	return fmt.Sprint(n)
}

func rate(perSecond float64) string { return fmt.Sprintf("%.1f", perSecond) }
