//go:build deps

// Package deps holds the chosen library versions until all are in use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gofiber/fiber/v2"
	_ "github.com/google/uuid"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/conc"
	_ "github.com/urfave/cli/v3"
	_ "github.com/valyala/fasthttp"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "gonum.org/v1/plot"
	_ "gopkg.in/ini.v1"
	_ "storj.io/drpc"
)
