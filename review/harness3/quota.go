package main

import (
	"net/http"
	"time"
)

const (
	// teamRate and teamBurst are the team's allotment in tokens.
	teamRate, teamBurst = 201_669, 201_669
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the rule.
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 140_000
	// cutTime is how long two failure domains are cut off from each other.
	cutTime = 6 * time.Second
)

// quotaTeam adds the team to the configuration.
func (w *world) quotaTeam() {
	w.config.Tenants = []map[string]any{{
		"name": "blue", "api_keys": []string{"blue-key-1"}, "priority": 0, "unit": "tokens", "plain_tokens": 200,
		"per_s": teamRate, "burst": teamBurst,
	}}
}

// judgeQuota checks the team's allotment in every window.
func (w *world) judgeQuota() bool {
	tokens, began := w.record.worstWindow("blue", quotaWindow)
	most := (teamRate*quotaWindow.Seconds()+teamBurst)*(1+quotaOverage) + quotaSlack
	w.record.notef("QUOTA: most tokens sent and run in a window of %v: %d, from second %.3f; allowed %.0f",
		quotaWindow, tokens, w.record.seconds(began), most)
	return float64(tokens) > most
}

// dossier is a request of the team at a host.
func dossier(h *host, service string) request {
	return request{
		host: h, method: http.MethodPost, path: "/" + service + "/1", team: "blue", key: "blue-key-1", prompt: 9_700, reply: 300,
		timeout: 12 * time.Second,
	}
}

// quotaCut cuts two of three failure domains off from each other. The third reaches both.
func quotaCut(w *world) (bool, error) {
	w.quotaTeam()
	for _, service := range []string{"assist-llm", "chute-llm"} {
		if err := w.service(service, "depot-b", 4); err != nil {
			return false, err
		}
	}
	w.publish()
	if err := w.start("depot-a", "depot-b", "depot-c"); err != nil {
		return false, err
	}
	w.record.notef("all hosts are ready")
	a, b, c := w.hosts[0], w.hosts[1], w.hosts[2]
	end := time.Now().Add(30 * time.Second)
	for _, service := range []string{"assist-llm", "chute-llm"} {
		w.load(dossier(b, service), 1.5*teamRate/10_000, end)
	}
	time.Sleep(14 * time.Second)
	if w.trouble {
		w.record.notef("%s and %s are cut off from each other", a.zone, c.zone)
		w.cut(a, c, true)
	}
	time.Sleep(cutTime)
	if w.trouble {
		w.cut(a, c, false)
		w.record.notef("the cut has healed")
	}
	w.callers.Wait()
	return w.judgeQuota(), nil
}
