package controlplane

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/keystore"
	"ferryspar/internal/layout"
	"ferryspar/internal/partner"
	"ferryspar/internal/tenure"
)

type layoutRecord struct {
	Revision int64    `json:"revision"`
	Packed   []byte   `json:"packed"`
	Marks    []string `json:"marks"`
}

type areaRecord struct {
	Number  uint64 `json:"number"`
	Drained bool   `json:"drained"`
}

const marksBound = 400

func mark(method, condition string, body []byte) string {
	sum := sha256.New()
	sum.Write([]byte(method + " " + condition + "\n"))
	sum.Write(body)
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:12])
}

func (r layoutRecord) has(wanted string) bool { return slices.Contains(r.Marks, wanted) }

func (r layoutRecord) next(revision int64, document []byte, stamp string) layoutRecord {
	marks := append(append([]string{}, r.Marks...), stamp)
	marks = marks[max(0, len(marks)-marksBound):]
	return layoutRecord{Revision: revision, Packed: layout.Pack(document), Marks: marks}
}

func (d *Daemon) apply(slot keystore.Slot) {
	d.applied.Lock()
	defer d.applied.Unlock()
	if held, known := d.shown[slot.Key]; known && !slot.Newer(held) {
		return
	}
	switch {
	case slot.Key == keystore.LayoutKey:
		d.applyLayout(slot)
	case slot.Key == keystore.MembersKey:
		var members keystore.Members
		if json.Unmarshal(slot.Value, &members) == nil && d.store.Adopt(members) {
			logrus.WithFields(logrus.Fields{"number": members.Number, "present": members.Present, "next": members.Next}).Info("members adopted")
		}
	case slot.Key == placementTenure:
		var record tenure.Record
		if json.Unmarshal(slot.Value, &record) == nil {
			d.board.Change(func(next *Bulletin) bool {
				changed := next.Holder != record.Address
				next.Holder = record.Address
				return changed
			})
		}
	case strings.HasPrefix(slot.Key, keystore.AreaPrefix):
		d.applyArea(slot)
	case slot.Key == keystore.RetentionKey:
		d.applyPolicy(slot)
	case slot.Key == keystore.ForgetKey:
		d.applyForgets(slot)
	case slot.Key == keystore.DrillKey:
		d.applyDrill(slot)
	}
	d.shown[slot.Key] = slot.Bare()
}

func (d *Daemon) applyLayout(slot keystore.Slot) {
	var record layoutRecord
	if json.Unmarshal(slot.Value, &record) != nil {
		return
	}
	d.board.Change(func(next *Bulletin) bool {
		if record.Revision <= next.Revision {
			return false
		}
		next.Revision, next.Packed = record.Revision, record.Packed
		return true
	})
}

func (d *Daemon) applyArea(slot keystore.Slot) {
	var record areaRecord
	area := strings.TrimPrefix(slot.Key, keystore.AreaPrefix)
	if json.Unmarshal(slot.Value, &record) != nil {
		return
	}
	d.board.Change(func(next *Bulletin) bool {
		if record.Number <= next.Areas[area].Number {
			return false
		}
		areas := map[string]partner.AreaState{area: {Number: record.Number, Drained: record.Drained}}
		for name, state := range next.Areas {
			if name != area {
				areas[name] = state
			}
		}
		next.Areas, next.AreaNumber = areas, 0
		for _, state := range areas {
			next.AreaNumber += state.Number
		}
		return true
	})
}
