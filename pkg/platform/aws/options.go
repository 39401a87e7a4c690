package aws

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"

	"corianderwood.example/corianderwood/pkg/netconn"
)

// Options contain the location of the services and the credentials.
type Options struct {
	// Endpoint is the base URL of both services. If empty, the endpoints of the region
	// are used.
	Endpoint string
	Region   string
	// TableName is the name of the DynamoDB table and Bucket that of the S3 bucket.
	// Both must exist.
	TableName, Bucket string
	// AccessKeyID and SecretAccessKey sign the requests unless Credentials is set.
	AccessKeyID, SecretAccessKey string
	Credentials                  aws.CredentialsProvider
	// HTTPClient sends the requests; NewHTTPClient() by default. It must not repeat
	// requests.
	HTTPClient *http.Client
}

func (o Options) check() error {
	var errs []error
	for name, value := range map[string]string{"Region": o.Region, "TableName": o.TableName, "Bucket": o.Bucket} {
		if value == "" {
			errs = append(errs, errors.New("aws: "+name+" is empty; state it in the platform settings"))
		}
	}
	if o.Credentials == nil && (o.AccessKeyID == "" || o.SecretAccessKey == "") {
		errs = append(errs, errors.New("aws: there are no credentials; state the access key and the secret key in the platform settings"))
	}
	return errors.Join(errs...)
}

func (o Options) withDefaults() Options {
	if o.Credentials == nil {
		o.Credentials = credentials.NewStaticCredentialsProvider(o.AccessKeyID, o.SecretAccessKey, "")
	}
	if o.HTTPClient == nil {
		o.HTTPClient = NewHTTPClient()
	}
	return o
}

func (o Options) baseEndpoint() *string {
	if o.Endpoint == "" {
		return nil
	}
	return aws.String(o.Endpoint)
}

// NewHTTPClient returns a client that does not follow redirects, because following one
// would send a request twice. Its connections report resets as those of netconn do, and
// responses that HTTP/1 doesn't allow are errors.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: checkedTransport{&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return netconn.ReportResets(conn), nil
			},
			TLSHandshakeTimeout: dialTimeout,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
