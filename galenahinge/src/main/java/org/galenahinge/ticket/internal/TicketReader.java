package org.galenahinge.ticket.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketGroup.Role;
import org.galenahinge.ticket.TicketGroup.ServiceWorkload;
import org.galenahinge.ticket.TicketGroup.Workload;
import org.galenahinge.ticket.TicketResult;
import org.galenahinge.ticket.TicketResult.FieldError;

/** Parses and validates tickets. Collects all errors instead of stopping at the first. */
public final class TicketReader {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String NAME_RULE = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";
    private static final int MAXIMUM_GROUPS = 1_000;
    private static final int MAXIMUM_VMS = 20_000;
    private static final int MAXIMUM_ADAPTERS = 64;
    private static final Set<String> TICKET_FIELDS = Set.of("number", "comment", "groups");
    private static final Set<String> MODEL_FIELDS =
            Set.of("group", "vms", "model", "version", "adapters", "role", "minimumReady");
    private static final Set<String> SERVICE_FIELDS = Set.of("group", "vms", "service", "repeatable");

    private final List<FieldError> errors = new ArrayList<>();

    private TicketReader() {}

    /**
     * Parses and validates a ticket.
     *
     * @param json the text as published
     * @return the ticket, or all errors
     */
    public static TicketResult read(String json) {
        int bytes = json.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > Ticket.MAXIMUM_BYTES) {
            return invalid("ticket", bytes + " bytes, at most " + Ticket.MAXIMUM_BYTES + " are allowed");
        }
        try {
            return new TicketReader().readTicket(JSON.readTree(json), json);
        } catch (JsonProcessingException e) {
            return invalid("ticket", "not valid JSON: " + e.getOriginalMessage());
        }
    }

    private static TicketResult invalid(String field, String message) {
        return new TicketResult.Invalid(List.of(new FieldError(field, message)));
    }

    private TicketResult readTicket(JsonNode root, String json) {
        if (!root.isObject()) {
            return invalid("ticket", "must be a JSON object");
        }
        checkUnknownFields(root, "", TICKET_FIELDS);
        long number = readNumber(root.path("number"));
        List<TicketGroup> groups = readGroups(root.path("groups"));
        if (!errors.isEmpty()) {
            return new TicketResult.Invalid(errors);
        }
        return new TicketResult.Valid(Ticket.of(number, groups, json));
    }

    private long readNumber(JsonNode node) {
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < 1) {
            addError("number", "must be a whole number from 1 to " + Long.MAX_VALUE);
            return 1;
        }
        return node.asLong();
    }

    private List<TicketGroup> readGroups(JsonNode node) {
        List<TicketGroup> groups = new ArrayList<>();
        if (!node.isArray() || node.isEmpty() || node.size() > MAXIMUM_GROUPS) {
            addError("groups", "must be a list of 1 to " + MAXIMUM_GROUPS + " groups");
            return groups;
        }
        Set<String> names = new HashSet<>();
        Set<String> vms = new HashSet<>();
        for (int index = 0; index < node.size(); index++) {
            TicketGroup group = readGroup(node.get(index), "groups[" + index + "]");
            if (!names.add(group.group())) {
                addError("groups[" + index + "].group", "'" + group.group() + "' appears twice in this ticket");
            }
            for (String vm : group.vms()) {
                if (!vms.add(vm)) {
                    addError("groups[" + index + "].vms", "'" + vm + "' is in two groups of this ticket");
                }
            }
            groups.add(group);
        }
        return groups;
    }

    private TicketGroup readGroup(JsonNode node, String path) {
        String name = readName(node.path("group"), path + ".group");
        List<String> vms = readNames(node.path("vms"), path + ".vms", MAXIMUM_VMS);
        if (node.has("service") == node.has("model")) {
            addError(path, "must have exactly one of 'model' and 'service'");
            return new TicketGroup(name, vms, new ServiceWorkload("", false));
        }
        Workload workload = node.has("model") ? readModel(node, path, vms.size()) : readService(node, path);
        return new TicketGroup(name, vms, workload);
    }

    private Workload readModel(JsonNode node, String path, int vmCount) {
        checkUnknownFields(node, path + ".", MODEL_FIELDS);
        String model = readName(node.path("model"), path + ".model");
        String version = readName(node.path("version"), path + ".version");
        List<String> adapters = node.has("adapters")
                ? readNames(node.path("adapters"), path + ".adapters", MAXIMUM_ADAPTERS)
                : List.of();
        Role role = readRole(node.path("role"), path + ".role");
        int minimumReady = readMinimumReady(node.path("minimumReady"), path + ".minimumReady", vmCount);
        return new ModelWorkload(model, version, adapters, role, minimumReady);
    }

    private Workload readService(JsonNode node, String path) {
        checkUnknownFields(node, path + ".", SERVICE_FIELDS);
        String service = readName(node.path("service"), path + ".service");
        JsonNode idempotent = node.path("repeatable");
        if (!idempotent.isBoolean()) {
            addError(path + ".repeatable", "must be true or false: whether a request may be run more than once");
        }
        return new ServiceWorkload(service, idempotent.asBoolean(false));
    }

    private Role readRole(JsonNode node, String path) {
        if (node.isMissingNode()) {
            return Role.BOTH;
        }
        for (Role role : Role.values()) {
            if (role.name().toLowerCase(Locale.ROOT).equals(node.asText())) {
                return role;
            }
        }
        addError(path, "must be 'both', 'prefill' or 'decode'");
        return Role.BOTH;
    }

    private int readMinimumReady(JsonNode node, String path, int vmCount) {
        if (node.isMissingNode()) {
            return 0;
        }
        if (!node.isInt() || node.asInt() < 0 || node.asInt() > vmCount) {
            addError(path, "must be a whole number from 0 to the number of VMs of the group");
            return 0;
        }
        return node.asInt();
    }

    private String readName(JsonNode node, String path) {
        if (!node.isTextual() || !NAME.matcher(node.asText()).matches()) {
            addError(path, "must be " + NAME_RULE);
            return "";
        }
        return node.asText();
    }

    private List<String> readNames(JsonNode node, String path, int maximum) {
        List<String> names = new ArrayList<>();
        if (!node.isArray() || node.size() > maximum) {
            addError(path, "must be a list of at most " + maximum + " names");
            return names;
        }
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < node.size(); index++) {
            String name = readName(node.get(index), path + "[" + index + "]");
            if (!name.isEmpty() && !seen.add(name)) {
                addError(path + "[" + index + "]", "'" + name + "' appears twice");
            }
            names.add(name);
        }
        return names;
    }

    private void checkUnknownFields(JsonNode node, String prefix, Set<String> allowed) {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!allowed.contains(name)) {
                addError(prefix + name, "unknown field");
            }
        }
    }

    private void addError(String field, String message) {
        errors.add(new FieldError(field, message));
    }
}
