package controlplane

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/event"
	"ferryspar/internal/keystore"
	"ferryspar/internal/layout"
	"ferryspar/internal/partner"
	"ferryspar/internal/problem"
)

var errTaken = errors.New("already taken")

const (
	changeBound = 2500 * time.Millisecond
	ackBound    = 350 * time.Millisecond
	inTouch     = 1500 * time.Millisecond
)

var keystoreProblems = map[error]problem.Kind{
	keystore.ErrNoMajority: problem.NoMajority,
	keystore.ErrContended:  problem.NoMajority,
	keystore.ErrUncertain:  problem.UncertainWrite,
}

func translate(err error) error {
	if err == nil {
		return nil
	}
	if kind, known := keystoreProblems[errors.Cause(err)]; known {
		return problem.New(kind, "")
	}
	return err
}

func (d *Daemon) ReplaceLayout(ctx context.Context, condition int64, method string, body []byte) error {
	read, err := layout.Read(body)
	if err != nil {
		return err
	}
	return d.changeLayout(ctx, condition, mark(method, strconv.FormatInt(condition, 10), body), func(current layoutRecord) (int64, []byte, error) {
		return read.Revision, body, nil
	})
}

func (d *Daemon) PatchLayout(ctx context.Context, condition int64, method string, body []byte) error {
	return d.changeLayout(ctx, condition, mark(method, strconv.FormatInt(condition, 10), body), func(current layoutRecord) (int64, []byte, error) {
		present, err := layout.Unpack(current.Packed)
		if err != nil {
			return 0, nil, err
		}
		document, err := layout.Apply(present, body)
		if err != nil {
			return 0, nil, err
		}
		read, err := layout.Read(document)
		return read.Revision, document, err
	})
}

func (d *Daemon) changeLayout(ctx context.Context, condition int64, stamp string, compose func(current layoutRecord) (int64, []byte, error)) error {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Change(bounded, keystore.LayoutKey, func(current keystore.Slot) (json.RawMessage, error) {
		var record layoutRecord
		if len(current.Value) > 0 {
			if err := json.Unmarshal(current.Value, &record); err != nil {
				return nil, err
			}
		}
		if record.has(stamp) {
			return nil, errTaken
		}
		if record.Revision != condition {
			return nil, problem.New(problem.StaleLayout, "revision %d is current", record.Revision)
		}
		revision, document, err := compose(record)
		if err != nil {
			return nil, err
		}
		if revision <= record.Revision {
			return nil, problem.New(problem.InvalidLayout, "revision %d is not above %d", revision, record.Revision)
		}
		return json.Marshal(record.next(revision, document, stamp))
	})
	if errors.Is(err, errTaken) {
		return nil
	}
	if err != nil {
		logrus.WithError(err).WithField("condition", condition).Info("layout change not acknowledged")
		return translate(err)
	}
	d.announce(ctx, slot)
	logrus.WithField("revision", revisionOf(slot)).Info("layout change acknowledged")
	return nil
}

func (d *Daemon) ReadLayout(ctx context.Context) (json.RawMessage, error) {
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Read(bounded, keystore.LayoutKey)
	if err != nil {
		return nil, translate(err)
	}
	var record layoutRecord
	if len(slot.Value) == 0 {
		return nil, problem.New(problem.NoLayout, "")
	}
	if err := json.Unmarshal(slot.Value, &record); err != nil {
		return nil, err
	}
	return layout.Unpack(record.Packed)
}

func (d *Daemon) DrainArea(ctx context.Context, area string, drained bool) error {
	if _, known := d.settings.Areas[area]; !known {
		return problem.New(problem.UnknownArea, "%s", area)
	}
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	slot, err := d.store.Change(bounded, keystore.AreaPrefix+area, func(current keystore.Slot) (json.RawMessage, error) {
		var record areaRecord
		if len(current.Value) > 0 {
			if err := json.Unmarshal(current.Value, &record); err != nil {
				return nil, err
			}
		}
		if record.Drained == drained && record.Number > 0 {
			return nil, errTaken
		}
		return json.Marshal(areaRecord{Number: record.Number + 1, Drained: drained})
	})
	if errors.Is(err, errTaken) {
		return nil
	}
	if err != nil {
		return translate(err)
	}
	d.announce(ctx, slot)
	logrus.WithFields(logrus.Fields{"zone": area, "drained": drained}).Info("zone evacuation acknowledged")
	return nil
}

func (d *Daemon) announce(ctx context.Context, slot keystore.Slot) {
	d.apply(slot)
	_ = d.bus.Publish(event.Committed, partner.Learned{Slot: slot.Bare()})
	bounded, cancel := context.WithTimeout(ctx, ackBound)
	defer cancel()
	schedule := time.NewTicker(10 * time.Millisecond)
	defer schedule.Stop()
	for {
		bulletin := d.board.Read()
		d.watching.Lock()
		behind := d.edges.Behind(d.clock(), inTouch, bulletin.Revision, bulletin.AreaNumber)
		d.watching.Unlock()
		if behind == 0 {
			return
		}
		select {
		case <-schedule.C:
		case <-bounded.Done():
			return
		}
	}
}

func revisionOf(slot keystore.Slot) int64 {
	var record layoutRecord
	_ = json.Unmarshal(slot.Value, &record)
	return record.Revision
}
