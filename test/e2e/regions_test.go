package e2e

import (
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"
)

// Guards against data of a route that leaves its home regions, either to an upstream
// in another region or into the log or metrics of an entry in another region.
func TestHomeRegions(t *testing.T) {
	is := is.New(t)
	store := fake.FreeAddress(t)
	storeURL := "http://" + store
	startStore(t, store)
	home := startUpstream(t, "u-home", "north", "n1", "--slots", "8", "--service", "1ms")
	away := startUpstream(t, "u-away", "south", "s1", "--slots", "8", "--service", "1ms")
	mustRun(t, poolJSON(t, nil, home, away), "pool", "put", "-", "--store", storeURL)
	mustRun(t, `{"name":"roster","match":{"path_prefix":"/"},"pool":"roster","home_regions":["north"],"identity_header":"Idempotency-Key"}`,
		"route", "put", "-", "--store", storeURL)
	at := func(region string) map[string]any {
		return map[string]any{"region": region, "regions": []string{"north", "south"}, "log": map[string]any{"requests": true}}
	}
	inner := []*entry{startEntryWith(t, "inner-1", "n1", storeURL, at("north")), startEntryWith(t, "inner-2", "n2", storeURL, at("north"))}
	outer := startEntryWith(t, "outer", "s1", storeURL, at("south"))
	untilInForce(t, storeURL, append(inner, outer)...)

	secrets := []string{"pathsecret", "querysecret", "bodysecret", "identitysecret"}
	body := strings.Repeat("bodysecret ", 50_000)
	identity := map[string]string{"Idempotency-Key": "identitysecret"}
	url := "http://" + outer.callerAddress
	until(t, "a request is forwarded", func() bool { code, _ := get(url + "/pathsecret/0"); return code == 200 })
	for range 20 {
		code, _, responseBody := sendRequest(t, "GET", url+"/pathsecret/7?plan=querysecret", "", nil)
		is.Equal(code, 200)
		is.True(strings.Contains(responseBody, `"upstream":"u-home"`))
		is.True(strings.Contains(responseBody, `"path":"/pathsecret/7"`))
		code, _, responseBody = sendRequest(t, "PUT", url+"/echo?plan=querysecret", body, nil)
		is.Equal(code, 200)
		is.True(responseBody == body) // complete and unchanged
	}
	for range 2 { // the repeat gets the stored response
		code, _, responseBody := sendRequest(t, "POST", url+"/pathsecret/8", "bodysecret", identity)
		is.Equal(code, 200)
		is.True(strings.Contains(responseBody, `"upstream":"u-home"`))
	}
	is.Equal(away.counts(t).Requests, uint64(0))
	is.True(home.counts(t).Requests >= 41)
	// Without an upstream in the home region, requests must not go to the other region.
	mustRun(t, "", "pool", "edit", "roster", "--set", `upstreams_out=["u-home"]`, "--wait", waitTimeout.String(), "--store", storeURL)
	inside := home.counts(t).Requests
	for _, e := range append(inner, outer) {
		for range 5 {
			code, outcome, _ := sendRequest(t, "GET", "http://"+e.callerAddress+"/pathsecret/7", "", nil)
			is.Equal(code, 503)
			is.Equal(outcome, "not-run")
		}
	}
	is.Equal(away.counts(t).Requests, uint64(0))
	is.Equal(home.counts(t).Requests, inside) // no request to the upstream that is out of service either

	for _, e := range inner {
		e.signal(t, syscall.SIGKILL)
		e.wait(t)
	}
	until(t, "the outer entry has detected the loss of the inner entries", func() bool { code, _ := get(url + "/pathsecret/9"); return code == 421 })
	code, outcome, _ := sendRequest(t, "GET", url+"/pathsecret/9", "", nil)
	is.Equal(code, 421)
	is.Equal(outcome, "not-run")
	code, outcome, _ = sendRequest(t, "POST", url+"/pathsecret/10", "bodysecret", map[string]string{"Idempotency-Key": "identitysecret-2"})
	is.Equal(code, 421)
	is.Equal(outcome, "unknown") // the entry cannot find out whether an earlier copy ran
	is.Equal(away.counts(t).Requests, uint64(0))

	_, metrics := get("http://" + outer.adminAddress + "/metrics")
	is.True(strings.Contains(metrics, `route="roster"`))
	log := outer.output()
	is.True(strings.Contains(log, "tables in force"))
	is.True(strings.Contains(inner[0].output()+inner[1].output(), `"route":"roster"`)) // entries in the home region log requests
	for _, secret := range secrets {
		is.True(!strings.Contains(metrics, secret)) // in the metrics
		is.True(!strings.Contains(log, secret))     // in the log
	}
}
