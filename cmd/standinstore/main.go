// Command standinstore serves a stand-in for the platform's key-value service. Its data is lost when it ends.
package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"turmericgap/logger"
	standin "turmericgap/standin/store"
	"turmericgap/store/memory"
)

const headerTimeout = 5 * time.Second

type arguments struct {
	Listen string `long:"listen" default:"127.0.0.1:7100" description:"IP number and port to serve on"`
}

func main() {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	log := logger.New("standinstore")
	if err := serve(args.Listen, log); err != nil {
		log.Fatal("standinstore: serving requests failed", zap.Error(err))
	}
}

func serve(address string, log *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: standin.New(memory.New()), ReadHeaderTimeout: headerTimeout}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		if err := server.Close(); err != nil {
			log.Warn("standinstore: closing the HTTP server failed", zap.Error(err))
		}
	}()
	log.Info("standinstore: serving requests", zap.String("address", listener.Addr().String()))
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
