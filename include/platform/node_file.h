/**
 * @file
 * The platform's settings file for a daemon: lines of the form a.b=value.
 */
#ifndef PLATFORM_NODE_FILE_H
#define PLATFORM_NODE_FILE_H

#include "common/err.h"
#include "common/http_call.h"
#include "moortack/relay/zone_table.h"

#define NODE_TEXT_SIZE 128
/** Most lines zones.ZONE=REGION in a file. */
#define NODE_ZONES_MAX 256

/** A zone and its region. */
typedef struct node_zone {
	char name[ZONE_NAME_SIZE];
	char region[ZONE_NAME_SIZE];
} node_zone_t;

/** The fields of the file that are used; others are ignored. */
typedef struct node_file {
	char zone[NODE_TEXT_SIZE];
	char region[NODE_TEXT_SIZE];	   /**< "": not set */
	node_zone_t zones[NODE_ZONES_MAX]; /**< zones.ZONE=REGION */
	size_t zones_len;
	http_address_t frontend; /**< listen.frontend */
	char frontend_text[NODE_TEXT_SIZE];
	http_address_t readiness;  /**< listen.readiness */
	http_address_t registry;   /**< listen.registry */
	http_address_t metrics;	   /**< first of port_range */
	http_address_t peers;	   /**< second of port_range */
	http_address_t forward;	   /**< third of port_range */
	http_address_t store;	   /**< platform.address */
	char name[NODE_TEXT_SIZE]; /**< node_name */
	http_address_t duty_api; /**< cloud_api.address; no host: there is none
				  */
	char duties[NODE_TEXT_SIZE]; /**< cloud_api.duties: words with commas
					between; see node_file_has_duty() */
	int64_t lease_ms;	     /**< bounds.lease_ms */
	int64_t usage_window_ms;     /**< bounds.report_window_s */
	int64_t usage_due_ms;	     /**< bounds.usage_delay_s */
	int64_t memory_mb;	     /**< limits.memory_mb */
	int64_t descriptors_max;     /**< limits.max_fds */
	double cpu_quota;	     /**< limits.cpu_quota */
	int64_t drain_ms;	     /**< bounds.drain_ms */
	int64_t grace_ms;	     /**< bounds.grace_s */
	int64_t stable_ms;	     /**< bounds.stable_ms */
	int64_t revoke_ms;	     /**< bounds.revoke_ms */
	bool bootstrap;		     /**< bootstrap */
	bool revoke_strict;	     /**< bounds.revoke_strict */
	double retry_budget_ratio;   /**< bounds.retry_budget_ratio */
	int64_t retry_window_ms;     /**< bounds.retry_window_s */
	double retry_min;	     /**< bounds.retry_min */
	double canary_share;	     /**< bounds.canary_share */
	double canary_tolerance;     /**< bounds.canary_tolerance */
	int64_t session_ms;	     /**< bounds.session_s */
	double warmup_overshoot;     /**< bounds.warmup_overshoot */
	double warmup_tolerance;     /**< bounds.warmup_tolerance */
	int64_t ttl_max_ms;	     /**< bounds.ttl_max_s */
} node_file_t;

/** Read and validate the file. The error names a missing or invalid field. */
bool node_file_read(const char *path, node_file_t *, err_t *);

/** The same, from a text. */
bool node_file_parse(const char *text, node_file_t *, err_t *);

/** Whether the file lists the duty, which one daemon of the fleet at a time
 * does at duty_api. */
bool node_file_has_duty(const node_file_t *, const char *duty);

#endif
