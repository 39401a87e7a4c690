// Package platform defines the storage services that the system requires from the cloud
// platform: a transactional table and an object store. Support for another platform
// requires only another implementation of these interfaces.
package platform
