package cataloger

import (
	"io"
	"os"
	"testing"

	"plantaincleat/tier/pkg/logger"
)

func TestMain(m *testing.M) {
	if err := logger.Configure(io.Discard, "error"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
