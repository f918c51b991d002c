package config

import (
	"fmt"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

// manyRoutes returns a catalogue of n routes on n/10 hosts to n/20 services.
func manyRoutes(tb testing.TB, n int) map[string]Record {
	var services, domains []string
	for i := 0; i < max(1, n/20); i++ {
		services = append(services, fmt.Sprintf(`{"name":"s%d","generation":1,"maxConns":100}`, i))
	}
	for host := 0; host < max(1, n/10); host++ {
		var routes []string
		for i := host * 10; i < min(n, host*10+10); i++ {
			routes = append(routes, routeJSON(fmt.Sprintf("r%d", i), fmt.Sprintf("/p%d/", i), fmt.Sprintf("s%d", i%len(services)), 1))
		}
		domains = append(domains, fmt.Sprintf(`{"authority":"h%d.example","hostRoutes":[%s]}`, host, strings.Join(routes, ",")))
	}
	change, err := ParseRequest([]byte(fmt.Sprintf(`{"upsert":{"services":[%s],"domains":[%s]}}`, strings.Join(services, ","), strings.Join(domains, ","))))
	if err != nil {
		tb.Fatal(err)
	}
	records := map[string]Record{}
	changes, err := change.Apply(records, &Decoder{})
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
	change, err := ParseRequest([]byte(requestBody(fmt.Sprintf(serviceJSON, 2), "", "")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := change.Apply(records, &Decoder{}); apierror.KindOf(err) != apierror.BodyTooLarge {
		t.Fatalf("got %v", err)
	}
}

func BenchmarkOneChange(b *testing.B) {
	for _, routes := range []int{100, 1000, 5900, 10000} {
		records := manyRoutes(b, routes)
		change, err := ParseRequest([]byte(requestBody("", routeJSON("r1", "/p1/", "s1", 2), "")))
		if err != nil {
			b.Fatal(err)
		}
		decoder := &Decoder{}
		decoder.Routes(records)
		b.Run(fmt.Sprintf("checked/%d", routes), func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				if _, err := change.Apply(records, decoder); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("listed/%d", routes), func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				if len(decoder.Routes(records)) != routes {
					b.Fatal("routes are missing")
				}
			}
		})
		b.Run(fmt.Sprintf("tabled/%d", routes), func(b *testing.B) {
			builder := &Builder{}
			builder.Build(records)
			for i := 0; i < b.N; i++ {
				builder.Build(records)
			}
		})
	}
}
