/** The balancer, which decides to which server, when and how often each request is sent. */
package passhatch;
