package org.galenahinge.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TicketTest {
    private static final String MODEL = "{'group':'g','vms':['a','b'],'model':'inlay','version':'3'}";

    @Test
    void parsesAModelGroupWithDefaults() {
        Ticket ticket = valid("{'number':7,'groups':[" + MODEL + "]}");

        assertThat(ticket.number()).isEqualTo(7);
        TicketGroup group = ticket.group("g").orElseThrow();
        assertThat(group.vms()).containsExactly("a", "b");
        assertThat(group.workload()).isEqualTo(new ModelWorkload("inlay", "3", List.of(), TicketGroup.Role.BOTH, 0));
    }

    @Test
    void weightsKeyConsistsOfModelVersionAndAdapters() {
        ModelWorkload workload = new ModelWorkload("inlay", "3", List.of("quotes", "notes"), TicketGroup.Role.BOTH, 0);

        assertThat(workload.weightsKey()).isEqualTo("inlay/3+quotes+notes");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'groups':[%s]} | number",
                "{'number':0,'groups':[%s]} | number",
                "{'number':1.5,'groups':[%s]} | number",
                "{'number':1,'groups':[]} | groups",
                "{'number':1,'groups':[%s,%s]} | groups[1].group",
                "{'number':1,'sizes':2,'groups':[%s]} | sizes",
                "{'number':1,'groups':[{'group':'g','vms':['a'],'model':'m'}]} | groups[0].version",
                "{'number':1,'groups':[{'group':'g','vms':['a'],'model':'m','version':'1','role':'both?'}]} "
                        + "| groups[0].role",
                "{'number':1,'groups':[{'group':'g','vms':['a'],'model':'m','version':'1','minimumReady':2}]} "
                        + "| groups[0].minimumReady",
                "{'number':1,'groups':[{'group':'g','vms':['a','a'],'model':'m','version':'1'}]} | groups[0].vms[1]",
                "{'number':1,'groups':[{'group':'g','vms':['a'],'service':'s'}]} | groups[0].repeatable",
                "{'number':1,'groups':[{'group':'g','vms':['a']}]} | groups[0]",
                "{'number':1,'groups':[{'group':'g h','vms':['a'],'service':'s','repeatable':true}]} "
                        + "| groups[0].group",
                "{'number':1,'number':2,'groups':[%s]} | ticket",
                "{'number':1 | ticket",
                "[1] | ticket"
            })
    void reportsTheInvalidField(String json, String field) {
        TicketResult result = Ticket.parse(json(json.replace("%s", MODEL)));

        assertThat(result).isInstanceOf(TicketResult.Invalid.class);
        assertThat(((TicketResult.Invalid) result).errors())
                .extracting(TicketResult.FieldError::field)
                .contains(field);
    }

    @Test
    void reportsAllErrors() {
        TicketResult result =
                Ticket.parse(json("{'number':0,'groups':[{'group':'','vms':3,'model':'m','version':''}]}"));

        assertThat(((TicketResult.Invalid) result).errors())
                .extracting(TicketResult.FieldError::field)
                .contains("number", "groups[0].group", "groups[0].vms", "groups[0].version");
    }

    @Test
    void rejectsATicketAboveTheMaximumSize() {
        String padded = json("{'number':1,'groups':[" + MODEL + "]}") + " ".repeat(Ticket.MAXIMUM_BYTES);

        assertThat(Ticket.parse(padded)).isInstanceOf(TicketResult.Invalid.class);
    }

    private static Ticket valid(String json) {
        return ((TicketResult.Valid) Ticket.parse(json(json))).ticket();
    }

    private static String json(String text) {
        return text.replace('\'', '"');
    }
}
