package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// WholeConfigCustomer is the customer under which whole configurations are kept.
const WholeConfigCustomer = "whole"

// WholeConfig is a configuration that replaces the one before as a whole.
type WholeConfig struct {
	// Number is the operator's number of the version, Base that of the version
	// it builds on, zero for the first one.
	Number, Base uint64
	Config       *customer.Config
	// File is the configuration as it was sent.
	File []byte
}

// AcceptWholeConfig implements Whole. The content identifies the request: two
// configurations under one number are two requests, and one that is sent again
// gets the answer of the first time.
func (b *backend) AcceptWholeConfig(ctx context.Context, w WholeConfig) error {
	sum := sha256.Sum256(w.File)
	c, err := versions.Accept{
		Customer: WholeConfigCustomer, RequestID: hex.EncodeToString(sum[:]), Time: b.clock(), File: w.File,
		Resources: w.Config.Resources(), Number: w.Number, BaseNumber: w.Base,
	}.Encode()
	if err != nil {
		return err
	}
	r, err := b.config.propose(ctx, c)
	if err == nil {
		_, err = r.Outcome()
	}
	b.log.Info("whole configuration", "number", w.Number, "base", w.Base, "request", hex.EncodeToString(sum[:4]),
		"accepted", err == nil, "repeated", r.Repeated, "version", r.Version, "reason", errorText(err))
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// NewestWholeConfig implements Whole. It answers only what a majority has confirmed.
func (b *backend) NewestWholeConfig(ctx context.Context) ([]byte, error) {
	if err := b.barrier(ctx); err != nil {
		return nil, err
	}
	e, ok := b.config.Current().Newest(WholeConfigCustomer)
	if !ok {
		return nil, errkind.New(errkind.NotReady, "no configuration was accepted yet")
	}
	return e.File, nil
}
