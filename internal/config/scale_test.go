package config

import (
	"fmt"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

// many makes a catalogue of n routes over n/10 hosts and n/20 services.
func manyRoutes(tb testing.TB, n int) map[string]Record {
	var services, domains []string
	for i := 0; i < max(1, n/20); i++ {
		services = append(services, fmt.Sprintf(`{"name":"s%d","generation":1,"maxConns":100}`, i))
	}
	for h := 0; h < max(1, n/10); h++ {
		var routes []string
		for i := h * 10; i < min(n, h*10+10); i++ {
			routes = append(routes, route(fmt.Sprintf("r%d", i), fmt.Sprintf("/p%d/", i), fmt.Sprintf("s%d", i%len(services)), 1))
		}
		domains = append(domains, fmt.Sprintf(`{"authority":"h%d.example","hostRoutes":[%s]}`, h, strings.Join(routes, ",")))
	}
	change, err := Read([]byte(fmt.Sprintf(`{"upsert":{"services":[%s],"domains":[%s]}}`, strings.Join(services, ","), strings.Join(domains, ","))))
	if err != nil {
		tb.Fatal(err)
	}
	records := map[string]Record{}
	changes, err := change.Apply(records, &Reader{})
	if err != nil {
		tb.Fatal(err)
	}
	for _, record := range changes {
		records[record.Name] = record
	}
	return records
}

func TestTooLargeCatalogueIsRefused(t *testing.T) {
	records := map[string]Record{}
	for i := 0; i*200 < MaxBytes; i++ {
		name := fmt.Sprintf("service/s%d", i)
		records[name] = Record{Name: name, Gen: 1, Data: make([]byte, 200)}
	}
	c, err := Read([]byte(patch(fmt.Sprintf(serviceJSON, 2), "", "")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Apply(records, &Reader{}); apierror.KindOf(err) != apierror.BodyTooLarge {
		t.Fatalf("got %v", err)
	}
}

func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{100, 1000, 5900, 10000} {
		records := manyRoutes(b, n)
		c, err := Read([]byte(patch("", route("r1", "/p1/", "s1", 2), "")))
		if err != nil {
			b.Fatal(err)
		}
		reader := &Reader{}
		reader.List(records)
		b.Run(fmt.Sprintf("checked/%d", n), func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				if _, err := c.Apply(records, reader); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("listed/%d", n), func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				if len(reader.List(records)) != n {
					b.Fatal("routes are missing")
				}
			}
		})
		b.Run(fmt.Sprintf("tabled/%d", n), func(b *testing.B) {
			builder := &Builder{}
			builder.Build(records)
			for i := 0; i < b.N; i++ {
				builder.Build(records)
			}
		})
	}
}
