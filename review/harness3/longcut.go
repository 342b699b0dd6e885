package main

import "time"

// Of the long cut: cuts of 6 s each, one right after the other.
const longCuts = 4

// quotaLongCut cuts the hosts of one failure domain off from those of the others.
func quotaLongCut(w *world) (bool, error) {
	w.quotaTeam()
	for _, zone := range []string{"depot-a", "depot-b"} {
		if err := w.service("assist-llm", zone, 4); err != nil {
			return false, err
		}
	}
	w.publish()
	if err := w.start("depot-a", "depot-b", "depot-c"); err != nil {
		return false, err
	}
	w.record.notef("all hosts are ready")
	a, b, c := w.hosts[0], w.hosts[1], w.hosts[2]
	end := time.Now().Add(10*time.Second + longCuts*cutTime)
	for _, h := range []*host{a, b} {
		w.load(dossier(h, "assist-llm"), 1.2*teamRate/10_000, end)
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		w.record.notef("%s is cut off from %s and %s", a.zone, b.zone, c.zone)
		w.cut(a, b, true)
		w.cut(a, c, true)
	}
	time.Sleep(longCuts * cutTime)
	if w.trouble {
		w.cut(a, b, false)
		w.cut(a, c, false)
		w.record.notef("the cut has healed")
	}
	w.callers.Wait()
	return w.judgeQuota(), nil
}
