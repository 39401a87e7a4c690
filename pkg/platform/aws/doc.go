// Package aws implements the platform's services on DynamoDB and S3, or on services
// with compatible APIs.
//
// The table has the string partition key "pk" and the string sort key "sk". A row key
// is split at its last '/'; the text before it is the partition key, so that a Query
// for a prefix that ends in '/' reads one partition.
//
// Each method sends each request at most once. SDK retries and redirects are disabled,
// because a repeated conditional write would fail on the effect of the first one, and
// an unknown outcome would be reported as a conflict.
package aws
