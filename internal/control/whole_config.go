package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// WholeConfigCustomer is the name of the customer that whole configurations are stored
// under.
const WholeConfigCustomer = "whole"

// WholeConfig is a configuration that replaces the previous one completely.
type WholeConfig struct {
	// Number is the version number that the operator assigned. Base is the number of
	// the version that this one is based on, or zero for the first one.
	Number, Base uint64
	Config       *customer.Config
	// File is the configuration exactly as it was sent.
	File []byte
}

// AcceptWholeConfig implements WholeConfigStore. The request ID is the hash of the
// content: two configurations with the same number are different requests, and sending
// one again returns the first result.
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

// NewestWholeConfig implements WholeConfigStore. It returns only a configuration that a
// majority has confirmed.
func (b *backend) NewestWholeConfig(ctx context.Context) ([]byte, error) {
	if err := b.barrier(ctx); err != nil {
		return nil, err
	}
	e, ok := b.config.Current().Newest(WholeConfigCustomer)
	if !ok {
		return nil, errkind.New(errkind.NotReady, "no configuration has been accepted yet")
	}
	return e.File, nil
}
