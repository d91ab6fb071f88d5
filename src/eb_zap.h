#ifndef EB_ZAP_H
#define EB_ZAP_H

#include "eb_config.h"
#include "eb_log.h"
#include "eb_metrics.h"
#include "eb_status.h"

/*
 * Checks the public keys of daemons that connect, as ZeroMQ asks over ZAP (RFC
 * 27). Used by the core thread only.
 */
struct eb_zap;

struct eb_zap *eb_zap_new(void *zmq, struct eb_metrics *mt, struct eb_log *lg);
void eb_zap_free(struct eb_zap *zp);
void *eb_zap_socket(struct eb_zap *zp);
enum eb_status eb_zap_allow_keys(struct eb_zap *zp, const struct eb_config *cf);
int eb_zap_receive(struct eb_zap *zp);

#endif
