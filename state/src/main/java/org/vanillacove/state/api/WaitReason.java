package org.vanillacove.state.api;

/**
 * Why a task of a job waits.
 *
 * @param constraint what holds it back
 * @param remedy what would free it
 */
public record WaitReason(String constraint, String remedy) {}
