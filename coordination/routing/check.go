package routing

import (
	"fmt"
	"strings"

	"endiveplank/protocol"
)

// Mistakes lists everything that is wrong with a table.
type Mistakes []string

// Error returns the mistakes, one on each line.
func (m Mistakes) Error() string {
	return strings.Join(m, "\n")
}

// hostPrefix is a host with a path prefix. No two routes may have the same.
type hostPrefix struct{ host, prefix string }

// checker collects the mistakes of one table.
type checker struct {
	table    *Table
	services map[protocol.Service]bool
	// routeAt maps each host and prefix to the name of its route.
	routeAt  map[hostPrefix]string
	mistakes Mistakes
}

func (c *checker) add(format string, values ...any) {
	c.mistakes = append(c.mistakes, fmt.Sprintf(format, values...))
}

// Check returns every mistake in a table, nil if there is none. A table with any
// mistake is refused as a whole, because half of a change in force is worse than
// none.
func Check(t *Table) Mistakes {
	c := &checker{table: t, services: map[protocol.Service]bool{}, routeAt: map[hostPrefix]string{}}
	c.checkServices()
	for i := range t.Routes {
		c.checkRoute(&t.Routes[i])
	}
	c.checkCustomers()
	return c.mistakes
}

func (c *checker) checkServices() {
	for i, s := range c.table.Services {
		if s.Name == "" {
			c.add("service %d has no name", i)
		}
		if c.services[s.Name] {
			c.add("service %q is there twice", s.Name)
		}
		if s.ColdRate < 0 || s.ColdPeriod < 0 {
			c.add("service %q: the cold rate %v and period %v must not be negative", s.Name, s.ColdRate, s.ColdPeriod)
		}
		c.services[s.Name] = true
	}
}

func (c *checker) checkRoute(r *Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add("route %q: the path prefix %q doesn't begin and end with a slash", r.Name, r.PathPrefix)
	}
	key := hostPrefix{r.Host, r.PathPrefix}
	if other, taken := c.routeAt[key]; taken {
		c.add("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.PathPrefix)
	}
	c.routeAt[key] = r.Name
	if r.Timeout <= 0 {
		c.add("route %q: the timeout must be above 0", r.Name)
	}
	c.checkSplit(r)
}

func (c *checker) checkSplit(r *Route) {
	sum := 0
	for _, share := range r.Split {
		if !c.services[share.Service] {
			c.add("route %q: the service %q isn't in the table", r.Name, share.Service)
		}
		if share.Weight < 0 {
			c.add("route %q: the weight of service %q is below 0", r.Name, share.Service)
		}
		sum += max(share.Weight, 0)
	}
	if sum == 0 {
		c.add("route %q: the weights add up to 0", r.Name)
	}
}

func (c *checker) checkCustomers() {
	holder := map[string]protocol.CustomerID{}
	for _, customer := range c.table.Customers {
		for _, key := range customer.Keys {
			if other, taken := holder[key]; taken && other != customer.Name {
				c.add("customers %q and %q share a key", other, customer.Name)
			}
			holder[key] = customer.Name
		}
	}
}
