package aws

import (
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// New returns a table and an object store. It sends no request. The error lists all
// missing options.
func New(o Options) (*Table, *ObjectStore, error) {
	if err := o.check(); err != nil {
		return nil, nil, err
	}
	o = o.withDefaults()
	table := &Table{name: o.TableName, client: dynamodb.New(dynamodb.Options{
		Region:       o.Region,
		BaseEndpoint: o.baseEndpoint(),
		Credentials:  o.Credentials,
		HTTPClient:   plainBodyClient{o.HTTPClient},
		Retryer:      aws.NopRetryer{},
	})}
	objects := &ObjectStore{bucket: o.Bucket, client: s3.New(s3.Options{
		Region:       o.Region,
		BaseEndpoint: o.baseEndpoint(),
		Credentials:  o.Credentials,
		HTTPClient:   plainBodyClient{o.HTTPClient},
		Retryer:      aws.NopRetryer{},
		UsePathStyle: o.Endpoint != "",
		// The keys of section bodies contain their SHA-256, which is verified on reads.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})}
	return table, objects, nil
}
