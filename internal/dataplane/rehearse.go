package dataplane

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/drill"
)

type rehearsal struct {
	answer   func(address string, question drill.Question)
	answered map[string]uint64
}

func (d *Desk) rehearse(one heard) {
	held := &d.rehearsal
	if question := one.news.Question; question != nil && held.answer != nil && held.answered[one.address] != question.Number {
		if held.answered == nil {
			held.answered = map[string]uint64{}
		}
		held.answered[one.address] = question.Number
		go held.answer(one.address, *question)
	}
}

const forecastBound = 1500 * time.Millisecond

func (d *Daemon) answerForecast(address string, question drill.Question) {
	ctx, cancel := context.WithTimeout(context.Background(), forecastBound)
	defer cancel()
	answer, err := d.matcher.Forecast(ctx, question.Scope.Covers)
	if err == nil {
		answer.Number, answer.Edge, answer.Area = question.Number, d.settings.NodeName, d.settings.Area
		err = d.session.Ask(ctx, "forecast", address, answer, nil)
	}
	logrus.WithFields(logrus.Fields{"scope": question.Scope.String(), "routes": len(answer.Routes), "problem": err}).Info("forecast answered")
}
